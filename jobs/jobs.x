/* Job records in a keyed stream. The newest value of a key replaces all older ones. */

/* Length limits. They bound what a decoder allocates and frees for malformed input. */
const IVJ_TEXT_MAX = 1024;
const IVJ_SPEC_MAX = 8192;
const IVJ_STEPS_MAX = 256;
const IVJ_TASKS_MAX = 20000;
const IVJ_DONE_BYTES_MAX = 2500;
const IVJ_RUNS_MAX = 1000;
const IVJ_OPEN_MAX = 1000;
const IVJ_PAIRS_MAX = 1000;
const IVJ_WORKERS_MAX = 10000;
const IVJ_LABELS_MAX = 100;

enum ivj_flag {
  IVJ_GANG = 1, IVJ_RACK_LOCAL = 2, IVJ_SAVES_PROGRESS = 4, IVJ_SPECULATIVE = 8, IVJ_LONG_RUNNING = 16, IVJ_BEST_EFFORT = 32
};

/* Interference estimate for one pair of images; see sched/interference.h. */
struct ivj_pair {
  string victim<IVJ_TEXT_MAX>;
  string other<IVJ_TEXT_MAX>;
  double mean;
  double variance;
};

struct ivj_model {
  ivj_pair pairs<IVJ_PAIRS_MAX>;
};

struct ivj_step {
  unsigned count;
  unsigned cpu_milli;
  unsigned mem_mb;
  unsigned accelerators;
  unsigned hyper estimate_ms;
  unsigned flags;
  unsigned depends<IVJ_STEPS_MAX>;
  string label<IVJ_TEXT_MAX>;
  string data_rack<IVJ_TEXT_MAX>;
  unsigned per_worker_max;
  string image<IVJ_TEXT_MAX>;
  unsigned target_ms;
  unsigned unavailable_max;
};

struct ivj_job {
  string host<IVJ_TEXT_MAX>;
  string prefix<IVJ_TEXT_MAX>;
  string spec<IVJ_SPEC_MAX>;
  ivj_step steps<IVJ_STEPS_MAX>;
  unsigned times;
  hyper first_ms;
  hyper interval_ms;
  hyper accepted_ms;
};

/* A job of a workspace. A job without one is stored as an ivj_job alone, as by earlier releases. */
struct ivj_job_record {
  ivj_job job;
  string workspace<IVJ_TEXT_MAX>;
};

/* Cancellation of a job id that no job was known for. `host` and `prefix` are those of the queue that
   it was requested through where that is public, else "". */
struct ivj_tombstone {
  string workspace<IVJ_TEXT_MAX>;
  string host<IVJ_TEXT_MAX>;
  string prefix<IVJ_TEXT_MAX>;
  hyper cancelled_ms; /* wall clock */
};

/* Policy of a queue, for its jobs when the configuration names it no more. */
struct ivj_queue {
  string host<IVJ_TEXT_MAX>;
  string prefix<IVJ_TEXT_MAX>;
  string service<IVJ_TEXT_MAX>;
  hyper priority;
  unsigned attempts;
  double stretch;
  hyper objective_ms;
  bool advised;
  bool checks_capacity;
};

struct ivj_failure {
  unsigned index;
  hyper runs<IVJ_RUNS_MAX>;
};

struct ivj_step_progress {
  opaque done<IVJ_DONE_BYTES_MAX>;
  ivj_failure failures<IVJ_TASKS_MAX>;
};

struct ivj_occurrence {
  unsigned number;
  ivj_step_progress steps<IVJ_STEPS_MAX>;
};

/* Crashes of workers that a task is suspected of, those of them before which it was seen to have
   started, and those in which it was the only suspect; tasks without any are left out. */
struct ivj_crash {
  unsigned occurrence;
  unsigned step;
  unsigned index;
  unsigned crashes;
  unsigned seen;
  unsigned alone;
  bool announced; /* it is started once this is stored, if it was not before */
};

struct ivj_crashes {
  ivj_crash tasks<IVJ_TASKS_MAX>;
};

enum ivj_state {
  IVJ_QUEUED = 0, IVJ_RUNNING = 1, IVJ_COMPLETED = 2, IVJ_FAILED = 3, IVJ_CANCELLED = 4
};

struct ivj_progress {
  ivj_state state;
  hyper ended_ms;
  unsigned opened;
  ivj_occurrence open<IVJ_OPEN_MAX>;
};

typedef string ivj_label<IVJ_TEXT_MAX>;

/* A worker on which the owner of a cell has runs, or may start one. */
struct ivj_worker {
  string id<IVJ_TEXT_MAX>;
  string service<IVJ_TEXT_MAX>;
  string address<IVJ_TEXT_MAX>;
  string domain<IVJ_TEXT_MAX>;
  string rack<IVJ_TEXT_MAX>;
  ivj_label labels<IVJ_LABELS_MAX>;
  hyper cpu_milli;
  hyper mem_mb;
  hyper accelerators;
  hyper start_time_ms;
  bool draining;
};

struct ivj_roster {
  ivj_worker workers<IVJ_WORKERS_MAX>;
};

/* The instance of a worker of a roster may hold a lease that calls meant for an earlier instance
   gave it. */
struct ivj_stray_lease {
  unsigned worker;    /* its place in the roster */
  hyper end_clock_ms; /* on its clock; the largest number: unknown, as long as any */
};

/* What is stored. An earlier release stores a roster alone. */
struct ivj_roster_record {
  ivj_roster roster;
  ivj_stray_lease stray_leases<IVJ_WORKERS_MAX>;
};
