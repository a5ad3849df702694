/*
 * Records on the platform's log, in XDR. One append writes one batch.
 * The stream "config" holds the configuration, which every host reads; "domain.NAME" holds the
 * scheduling of one failure domain; "keys" holds idempotency keys.
 */

/* Bounds of strings and arrays. ENTRIES is that of the records, items or rows in one record or
   batch; GAPS is that of the reporting gaps of one worker. */
const IVX_NAME_MAX = 64;
const IVX_TEXT_BYTES_MAX = 65536;
const IVX_ENTRIES_MAX = 4096;
const IVX_CHUNK_BYTES_MAX = 262144;
const IVX_DOMAINS_MAX = 64;
const IVX_GAPS_MAX = 64;
const IVX_WRITERS_MAX = 1024;
const IVX_HISTORY_MAX = 256;
const IVX_ITEMS_MAX = 32768;
const IVX_TASKS_MAX = 131072;

typedef string ivx_name<IVX_NAME_MAX>;

/* Kinds 1 to 6 belong to the stream "config", 10 to 23 to those of failure domains, 30 and 31 to
   "keys". Snapshot chunks (6) occur in the streams of failure domains as well. */
enum ivx_kind
{
  IVX_RELEASE = 1,
  IVX_DOMAIN = 2,
  IVX_SUBMIT = 3,
  IVX_CANCEL = 4,
  IVX_PROGRESS = 5,
  IVX_SNAPSHOT_CHUNK = 6,
  IVX_CLAIM = 10,
  IVX_RENEW = 11,
  IVX_WORKER = 12,
  IVX_WORKER_REMOVED = 13,
  IVX_ADMIT = 14,
  IVX_BIND = 15,
  IVX_FINISH = 16,
  IVX_REQUEUE = 17,
  IVX_CANCEL_JOB = 18,
  IVX_EXPORT = 19,
  IVX_IMPORT = 20,
  IVX_EXPORTED = 21,
  IVX_USAGE = 22,
  IVX_JOB_REMOVED = 23,
  IVX_INTENT = 30,
  IVX_OUTCOME = 31
};

enum ivx_change { IVX_ADDED = 1, IVX_CHANGED = 2, IVX_WITHDRAWN = 3 };
enum ivx_type { IVX_SERVICE = 1, IVX_JOB = 2, IVX_TEAM = 3 };

/* Tasks `first` to `first + count - 1` of a job are assigned to `domain`. */
struct ivx_share { ivx_name domain; unsigned first; unsigned count; };

struct ivx_size { unsigned cpu_milli; unsigned memory_mib; unsigned accelerators; };

/* A service, job or team. A field that its type does not use is zero. */
struct ivx_item
{
  ivx_change change;
  ivx_type type;
  ivx_name name;
  ivx_name team;
  ivx_size size;
  unsigned tasks;
  unsigned priority;
  unsigned run_ms;
  unsigned latency_ms;
  unsigned horizon_ms;
  unsigned quota_milli;
  bool urgent;
  bool gang;
  bool at_most_once;
  bool idempotent;
  ivx_share shares<IVX_DOMAINS_MAX>;
};

struct ivx_release { unsigned number; unsigned base; string author<IVX_NAME_MAX>; string text<IVX_TEXT_BYTES_MAX>; ivx_item items<IVX_ENTRIES_MAX>; };
struct ivx_domain { ivx_name name; bool out; };
struct ivx_cancel { ivx_name job; };
/* Number of ended tasks of a job in one failure domain, by result. `gen` identifies the job's
   definition. */
struct ivx_progress { ivx_name job; unsigned hyper gen; ivx_name domain; unsigned done; unsigned failed; unsigned cancelled; unsigned unknown; };
/* Part of a snapshot of the state after all batches below `end_offset`; `digest` is the XXH3 hash of
   the whole snapshot. */
struct ivx_chunk { unsigned hyper end_offset; unsigned index; unsigned total; unsigned hyper digest; opaque bytes<IVX_CHUNK_BYTES_MAX>; };

struct ivx_claim { unsigned term; ivx_name host; };
struct ivx_worker { ivx_name name; ivx_name rack; ivx_name address; ivx_size size; unsigned hyper start_ms; };
struct ivx_worker_removed { unsigned worker; unsigned hyper end_ms; };
/* `config_next` is the position in the config stream up to which the writer has read. */
struct ivx_admit { ivx_item item; unsigned hyper gen; unsigned first; unsigned count; unsigned hyper config_next; };
struct ivx_bind { unsigned task; unsigned worker; };
enum ivx_result { IVX_DONE = 1, IVX_FAILED = 2, IVX_CANCELLED = 3, IVX_UNKNOWN = 4, IVX_IMPOSSIBLE = 5 };
struct ivx_finish { unsigned task; unsigned attempt; ivx_result result; };
struct ivx_requeue { unsigned task; unsigned attempt; unsigned progress_ms; bool evicted; bool failed; };
struct ivx_cancel_job { ivx_name job; unsigned hyper gen; };
struct ivx_job_removed { ivx_name job; unsigned hyper gen; unsigned hyper config_next; };
struct ivx_export { unsigned task; ivx_name to; };
struct ivx_import { ivx_item item; unsigned hyper gen; unsigned index; unsigned attempt; unsigned moves; unsigned progress_ms; };
struct ivx_exported { unsigned task; };

/* Usage: host time in core-microseconds. */
enum ivx_row_kind { IVX_ROW_WORKLOAD = 1, IVX_ROW_IDLE = 2, IVX_ROW_OVERHEAD = 3, IVX_ROW_UNATTRIBUTED = 4 };
struct ivx_usage_row { ivx_row_kind kind; ivx_name team; ivx_name name; unsigned hyper core_us; };
struct ivx_usage { unsigned worker; unsigned hyper from_ms; unsigned hyper until_ms; ivx_usage_row rows<IVX_ENTRIES_MAX>; };

/* `hi` and `lo` are the halves of the 128-bit hash of an idempotency key and its service. */
struct ivx_intent { unsigned hyper hi; unsigned hyper lo; ivx_name host; };
struct ivx_outcome { unsigned hyper hi; unsigned hyper lo; unsigned status; };

union ivx_record switch (ivx_kind kind)
{
  case IVX_RELEASE: ivx_release release;
  case IVX_DOMAIN: ivx_domain domain;
  case IVX_SUBMIT: ivx_item submit;
  case IVX_CANCEL: ivx_cancel cancel;
  case IVX_PROGRESS: ivx_progress progress;
  case IVX_SNAPSHOT_CHUNK: ivx_chunk chunk;
  case IVX_CLAIM: ivx_claim claim;
  case IVX_RENEW: void;
  case IVX_WORKER: ivx_worker worker;
  case IVX_WORKER_REMOVED: ivx_worker_removed worker_removed;
  case IVX_ADMIT: ivx_admit admit;
  case IVX_BIND: ivx_bind bind;
  case IVX_FINISH: ivx_finish finish;
  case IVX_REQUEUE: ivx_requeue requeue;
  case IVX_CANCEL_JOB: ivx_cancel_job cancel_job;
  case IVX_EXPORT: ivx_export task_export;
  case IVX_IMPORT: ivx_import task_import;
  case IVX_EXPORTED: ivx_exported exported;
  case IVX_USAGE: ivx_usage usage;
  case IVX_JOB_REMOVED: ivx_job_removed job_removed;
  case IVX_INTENT: ivx_intent intent;
  case IVX_OUTCOME: ivx_outcome outcome;
};

/* One append. `sequence` increases by one within an incarnation of the writer. `term` fences the
   records of a failure domain's owner and is zero in other batches. */
struct ivx_batch
{
  unsigned hyper writer;
  unsigned hyper incarnation;
  unsigned hyper sequence;
  unsigned term;
  ivx_record records<IVX_ENTRIES_MAX>;
};

/* Snapshots: the whole state after all batches below `next`. Every array has a bound, because the
   decoder allocates the length that the input states before it reads the elements. */

struct ivx_writer_state { unsigned hyper writer; unsigned hyper incarnation; unsigned hyper sequence; };

struct ivx_item_state
{
  ivx_item item;
  unsigned hyper gen;
  bool ended;
  ivx_progress progress<IVX_DOMAINS_MAX>;
};
struct ivx_history_state { unsigned number; string author<IVX_NAME_MAX>; unsigned hyper offset; unsigned added; unsigned changed; unsigned withdrawn; };
struct ivx_domain_status { ivx_name name; bool out; unsigned hyper since; };

struct ivx_config_snapshot
{
  unsigned hyper next;
  unsigned release;
  string text<IVX_TEXT_BYTES_MAX>;
  ivx_writer_state writers<IVX_WRITERS_MAX>;
  ivx_history_state history<IVX_HISTORY_MAX>;
  ivx_domain_status domains<IVX_DOMAINS_MAX>;
  ivx_item_state items<IVX_ITEMS_MAX>;
  ivx_name ended<IVX_ITEMS_MAX>;
};

/* Interval that was accounted without a report; a late report may still fill it. */
struct ivx_gap { unsigned hyper from_ms; unsigned hyper until_ms; };
struct ivx_worker_state
{
  unsigned id;
  ivx_worker worker;
  bool removed;
  unsigned hyper until_ms;
  ivx_usage_row rows<IVX_ENTRIES_MAX>;
  ivx_gap gaps<IVX_GAPS_MAX>;
};
struct ivx_job_state
{
  unsigned id;
  ivx_item item;
  unsigned hyper gen;
  bool cancelled;
  bool admitted;
  unsigned done;
  unsigned failed;
  unsigned cancel_count;
  unsigned unknown;
  unsigned live_tasks;
};
struct ivx_task_state
{
  unsigned id;
  unsigned job;
  unsigned index;
  unsigned state;
  unsigned attempt;
  unsigned worker;
  unsigned progress_ms;
  unsigned failures;
  unsigned moves;
  unsigned hyper bind_offset;
  ivx_name to;
};
struct ivx_cell_snapshot
{
  unsigned hyper next;
  unsigned term;
  ivx_name owner;
  unsigned hyper config_floor;
  unsigned evictions;
  unsigned next_worker;
  unsigned next_job;
  unsigned next_task;
  ivx_writer_state writers<IVX_WRITERS_MAX>;
  ivx_worker_state workers<IVX_ITEMS_MAX>;
  ivx_job_state jobs<IVX_TASKS_MAX>;
  ivx_task_state tasks<IVX_TASKS_MAX>;
  unsigned hyper imports<IVX_ITEMS_MAX>;
  ivx_usage_row removed_usage<IVX_TASKS_MAX>;
};
