#include "bench_job.h"

#include <string.h>

ivj_step bench_steps[3];
ivj_job bench_spec;

void
bench_make_job (guint count, guint second)
{
  static u_int first[] = { 0 };
  memset (bench_steps, 0, sizeof bench_steps);
  memset (&bench_spec, 0, sizeof bench_spec);
  for (guint i = 0; i < G_N_ELEMENTS (bench_steps); i++)
    {
      bench_steps[i].cpu_milli = 2000;
      bench_steps[i].estimate_ms = 1000;
      bench_steps[i].label = bench_steps[i].data_rack = bench_steps[i].image = "";
    }
  bench_steps[0].count = count;
  bench_steps[1].count = second;
  bench_steps[1].depends.depends_len = 1;
  bench_steps[1].depends.depends_val = first;
  bench_spec.host = bench_spec.prefix = bench_spec.spec = "x";
  bench_spec.steps.steps_len = second ? 2 : 1;
  bench_spec.steps.steps_val = bench_steps;
}
