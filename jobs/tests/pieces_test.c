#include "pieces.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static GArray *
make_pieces (const struct iv_piece *rows, guint count)
{
  GArray *pieces = g_array_new (FALSE, FALSE, sizeof (struct iv_piece));
  g_array_append_vals (pieces, rows, count);
  return pieces;
}

/* A task needs its cores and its memory on one worker. */
static void
test_count_by_cores_and_memory (void **state)
{
  static const struct iv_piece rows[] = { { 4000, 100 }, { 9000, 100 }, { 2000, 900 } };
  static const struct
  {
    struct iv_piece need;
    guint count;
  } cases[] = { { { 3000, 10 }, 4 }, { { 3000, 60 }, 2 }, { { 3000, 101 }, 0 }, { { 9001, 1 }, 0 },
                { { 2000, 0 }, 7 },  { { 0, 100 }, 11 },  { { 2000, 300 }, 1 } };
  GArray *pieces = make_pieces (rows, G_N_ELEMENTS (rows));
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    assert_int_equal (iv_pieces_count (pieces, &cases[i].need), cases[i].count);
  g_array_unref (pieces);
}

/* Small needs leave large pieces to large ones. */
static void
test_smallest_piece_is_taken (void **state)
{
  static const struct iv_piece rows[] = { { 9000, 100 }, { 4000, 100 }, { 5000, 10 } };
  struct iv_piece need = { 3000, 50 };
  GArray *pieces = make_pieces (rows, G_N_ELEMENTS (rows));
  assert_true (iv_pieces_take (pieces, &need));
  assert_int_equal (g_array_index (pieces, struct iv_piece, 1).cpu_milli, 1000);
  assert_int_equal (g_array_index (pieces, struct iv_piece, 1).mem_mb, 50);
  assert_true (iv_pieces_take (pieces, &need));
  assert_int_equal (g_array_index (pieces, struct iv_piece, 0).cpu_milli, 6000);
  assert_true (iv_pieces_take (pieces, &need));
  assert_false (iv_pieces_take (pieces, &need));
  g_array_unref (pieces);
}

static void
test_format_and_parse (void **state)
{
  static const struct iv_piece rows[] = { { 1000, 7 }, { 64000, 256000 }, { 500, 3 } };
  GArray *pieces = make_pieces (rows, G_N_ELEMENTS (rows));
  GString *text = g_string_new (NULL);
  GArray *parsed;
  iv_pieces_keep_largest (pieces, 2);
  iv_pieces_format (pieces, text);
  assert_string_equal (text->str, " 64000:256000 1000:7");
  parsed = iv_pieces_parse (text->str);
  assert_int_equal (parsed->len, 2);
  assert_int_equal (g_array_index (parsed, struct iv_piece, 1).mem_mb, 7);
  g_array_unref (parsed);
  g_string_free (text, TRUE);
  g_array_unref (pieces);
}

/* Guards against capacity that another writer's record claims, and that no worker has. */
static void
test_malformed_pieces_are_left_out (void **state)
{
  static const struct
  {
    const char *text;
    guint count;
  } rows[] = { { "", 0 },
               { " ", 0 },
               { "5", 0 },
               { " 5:", 0 },
               { " :5", 0 },
               { " -5:5", 0 },
               { " 5:5x", 0 },
               { " 5:5 6:6", 2 },
               { " 5:5 x 6:6", 1 },
               { " 99999999999999999999:5", 0 },
               { " 1:1 1:1 1:1 1:1 1:1 1:1 1:1 1:1 1:1 1:1", IV_PIECES_MAX } };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GArray *pieces = iv_pieces_parse (rows[i].text);
      print_message ("\"%s\"\n", rows[i].text);
      assert_int_equal (pieces->len, rows[i].count);
      g_array_unref (pieces);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_count_by_cores_and_memory),
    cmocka_unit_test (test_smallest_piece_is_taken),
    cmocka_unit_test (test_format_and_parse),
    cmocka_unit_test (test_malformed_pieces_are_left_out),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
