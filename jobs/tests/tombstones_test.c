#include "job_table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define ID "00000000000000aa"
#define OTHER_ID "00000000000000bb"
#define KEYS_MAX 8

static GByteArray *
encode_job (const char *workspace, const char *prefix)
{
  ivj_step step = { .count = 1, .cpu_milli = 1, .label = "", .data_rack = "", .image = "" };
  ivj_job job = { .host = "h", .prefix = (char *)prefix, .spec = "", .accepted_ms = 1 };
  job.steps.steps_len = 1;
  job.steps.steps_val = &step;
  return iv_job_encode_spec (&job, workspace);
}

static GByteArray *
encode_tombstone (const char *workspace, const char *public_prefix, gint64 cancelled_ms)
{
  const ivj_tombstone tombstone = { .workspace = (char *)workspace,
                                    .host = *public_prefix ? "h" : "",
                                    .prefix = (char *)public_prefix,
                                    .cancelled_ms = cancelled_ms };
  return iv_tombstone_encode (&tombstone);
}

/* Guards against a caller who cancels, by guessing an id, a job that another workspace hands in
   later, and against one whose own job runs on. */
static void
test_covers_what_its_caller_may_cancel (void **state)
{
  static const struct
  {
    const char *canceller, *public_prefix, *workspace, *prefix;
    gboolean covered;
  } rows[] = {
    { "", "", "", "/q/", TRUE },
    { "a", "", "a", "/q/", TRUE },
    { "a", "", "a", "/other/", TRUE },
    { "a", "", "b", "/q/", FALSE },
    { "", "", "b", "/q/", FALSE },
    { "a", "", "", "/q/", TRUE },
    { "", "/open/", "b", "/open/", TRUE },
    { "", "/open/", "b", "/q/", FALSE },
    { "a", "/open/", "b", "/open/", TRUE },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    for (guint job_first = 0; job_first < 2; job_first++)
      {
        struct iv_job_table *table = iv_job_table_new ();
        GByteArray *job = encode_job (rows[i].workspace, rows[i].prefix);
        GByteArray *tombstone = encode_tombstone (rows[i].canceller, rows[i].public_prefix, 1);
        if (job_first)
          assert_int_equal (iv_job_table_apply (table, ID, job->data, job->len), IV_OK);
        assert_int_equal (
            iv_job_table_apply (table, ID IV_KEY_TOMBSTONE "1", tombstone->data, tombstone->len),
            IV_OK);
        assert_int_equal (iv_job_table_size (table), job_first);
        if (!job_first)
          assert_int_equal (iv_job_table_apply (table, ID, job->data, job->len), IV_OK);
        assert_int_equal (iv_job_table_apply (table, OTHER_ID, job->data, job->len), IV_OK);
        assert_int_equal (iv_job_state (iv_job_table_find (table, ID)),
                          rows[i].covered ? IVJ_CANCELLED : IVJ_QUEUED);
        assert_int_equal (iv_job_state (iv_job_table_find (table, OTHER_ID)), IVJ_QUEUED);
        assert_int_equal (iv_job_table_pending (table, "h", rows[i].prefix),
                          rows[i].covered ? 1 : 2);
        g_byte_array_unref (job);
        g_byte_array_unref (tombstone);
        iv_job_table_free (table);
      }
}

/* A record of the log; no bytes: its key is deleted. */
struct record
{
  const char *key;
  const GByteArray *bytes;
};

static void
apply (struct iv_job_table *table, const struct record *record)
{
  assert_int_equal (iv_job_table_apply (table, record->key,
                                        record->bytes ? record->bytes->data : NULL,
                                        record->bytes ? record->bytes->len : 0),
                    IV_OK);
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (((const struct record *)a)->key, ((const struct record *)b)->key);
}

/* Applies the newest record of each key among the first @a count, as a host that starts does. */
static void
load_newest (struct iv_job_table *table, const struct record *log, guint count)
{
  struct record newest[KEYS_MAX];
  guint keys = 0;
  for (guint i = 0; i < count; i++)
    {
      guint place = 0;
      while (place < keys && strcmp (newest[place].key, log[i].key) != 0)
        place++;
      newest[place] = log[i];
      keys = MAX (keys, place + 1);
    }
  qsort (newest, keys, sizeof *newest, compare_keys);
  for (guint i = 0; i < keys; i++)
    if (newest[i].bytes)
      apply (table, &newest[i]);
}

enum
{
  SUBMISSION, /* appended late by a host that is cut off */
  REPEAT,     /* of the submission, at another host */
  CANCEL,
  SECOND_CANCEL, /* at another host */
  PROGRESS,      /* the owner has ended the cancelled job */
  SWEEP,         /* the tombstones are deleted */
  STEPS
};

/* The progress needs a cancelled job; the sweep waits for the end of the job and for every write.
 */
static gboolean
is_possible (const guint *place, gboolean submitted, gboolean repeated)
{
  guint cancelled = MIN (place[CANCEL], place[SECOND_CANCEL]);
  guint accepted = MIN (submitted ? place[SUBMISSION] : STEPS, repeated ? place[REPEAT] : STEPS);
  return place[PROGRESS] > cancelled && (accepted == STEPS || place[PROGRESS] > accepted)
         && place[SWEEP] == STEPS - 1;
}

static void
check_order (const guint *order, gboolean submitted, gboolean repeated)
{
  GByteArray *job = encode_job ("", "/q/");
  GByteArray *tombstone = encode_tombstone ("", "", 1);
  const ivj_progress ended = { .state = IVJ_CANCELLED };
  GByteArray *progress = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_progress, &ended, IV_RECORD_MAX_BYTES);
  const struct record steps[STEPS][2] = {
    [SUBMISSION] = { { ID, job } },
    [REPEAT] = { { ID, job } },
    [CANCEL] = { { ID IV_KEY_TOMBSTONE "1", tombstone } },
    [SECOND_CANCEL] = { { ID IV_KEY_TOMBSTONE "2", tombstone } },
    [PROGRESS] = { { ID IV_KEY_PROGRESS, progress } },
    [SWEEP] = { { ID IV_KEY_TOMBSTONE "1", NULL }, { ID IV_KEY_TOMBSTONE "2", NULL } },
  };
  struct record log[STEPS * 2];
  guint told[STEPS * 2]; /* whether a cancellation was told by the record of that number */
  guint count = 0;
  gboolean cancelled = FALSE;
  for (guint i = 0; i < STEPS; i++)
    {
      gboolean lost = (order[i] == SUBMISSION && !submitted) || (order[i] == REPEAT && !repeated)
                      || (order[i] == PROGRESS && !submitted && !repeated);
      cancelled |= order[i] == CANCEL || order[i] == SECOND_CANCEL;
      for (guint j = 0; !lost && j < 2 && steps[order[i]][j].key; j++)
        {
          told[count] = cancelled;
          log[count++] = steps[order[i]][j];
        }
    }
  for (guint loaded = 0; loaded <= count; loaded++)
    {
      struct iv_job_table *table = iv_job_table_new ();
      load_newest (table, log, loaded);
      for (guint i = loaded; i <= count; i++)
        {
          const struct iv_job_entry *entry = iv_job_table_find (table, ID);
          if (i > 0 && told[i - 1] && entry)
            assert_int_equal (iv_job_state (entry), IVJ_CANCELLED);
          if (i < count)
            apply (table, &log[i]);
        }
      iv_job_table_free (table);
    }
  g_byte_array_unref (job);
  g_byte_array_unref (tombstone);
  g_byte_array_unref (progress);
}

static guint
check_orders (guint *order, guint chosen, gboolean submitted, gboolean repeated)
{
  guint checked = 0;
  guint place[STEPS];
  if (chosen == STEPS)
    {
      for (guint i = 0; i < STEPS; i++)
        place[order[i]] = i;
      if (!is_possible (place, submitted, repeated))
        return 0;
      check_order (order, submitted, repeated);
      return 1;
    }
  for (guint i = chosen; i < STEPS; i++)
    {
      guint step = order[i];
      order[i] = order[chosen];
      order[chosen] = step;
      checked += check_orders (order, chosen + 1, submitted, repeated);
      order[chosen] = order[i];
      order[i] = step;
    }
  return checked;
}

/* Guards against a job that runs after its cancellation was told, in all orders of the records and
   with a host that starts after any of them. */
static void
test_cancelled_in_every_order (void **state)
{
  guint order[STEPS] = { 0, 1, 2, 3, 4, 5 };
  for (guint lost = 0; lost < 4; lost++)
    assert_true (check_orders (order, 0, !(lost & 1), !(lost & 2)) > 10);
}

static void
count_key (void *context, const char *key, const char *id)
{
  assert_string_equal (id, ID);
  (*(guint *)context)++;
}

/* Guards against tombstones that are kept for ever, or deleted early. */
static void
test_old_ones_are_found (void **state)
{
  struct iv_job_table *table = iv_job_table_new ();
  const struct iv_tombstones *tombstones = iv_job_table_tombstones (table);
  GByteArray *older = encode_tombstone ("", "", 100);
  GByteArray *newer = encode_tombstone ("", "", 200);
  guint found = 0;
  apply (table, &(struct record){ ID IV_KEY_TOMBSTONE "1", older });
  apply (table, &(struct record){ ID IV_KEY_TOMBSTONE "2", newer });
  apply (table, &(struct record){ ID IV_KEY_TOMBSTONE "2", newer });
  assert_int_equal (iv_tombstones_count (tombstones), 2);
  iv_tombstones_foreach_before (tombstones, 100, count_key, &found);
  assert_int_equal (found, 0);
  iv_tombstones_foreach_before (tombstones, 101, count_key, &found);
  assert_int_equal (found, 1);
  apply (table, &(struct record){ ID IV_KEY_TOMBSTONE "1", NULL });
  apply (table, &(struct record){ ID IV_KEY_TOMBSTONE "1", NULL });
  assert_int_equal (iv_tombstones_count (tombstones), 1);
  assert_true (iv_tombstones_cover (tombstones, ID, "", "h", "/q/"));
  apply (table, &(struct record){ ID IV_KEY_TOMBSTONE "2", NULL });
  assert_false (iv_tombstones_cover (tombstones, ID, "", "h", "/q/"));
  g_byte_array_unref (older);
  g_byte_array_unref (newer);
  iv_job_table_free (table);
}

static void
test_malformed_records_are_ignored (void **state)
{
  struct iv_job_table *table = iv_job_table_new ();
  assert_int_equal (
      iv_job_table_apply (table, ID IV_KEY_TOMBSTONE "1", (const guint8 *)"\xff\xff", 2),
      IV_ERR_INVALID);
  assert_int_equal (iv_tombstones_count (iv_job_table_tombstones (table)), 0);
  iv_job_table_free (table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_covers_what_its_caller_may_cancel),
    cmocka_unit_test (test_cancelled_in_every_order),
    cmocka_unit_test (test_old_ones_are_found),
    cmocka_unit_test (test_malformed_records_are_ignored),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
