#include "bench_job.h"

#include <string.h>

ivj_step sim_steps[3];
ivj_job sim_spec;

void
sim_make_job (guint count, guint second)
{
  static u_int first_step[] = { 0 };
  memset (sim_steps, 0, sizeof sim_steps);
  memset (&sim_spec, 0, sizeof sim_spec);
  for (guint i = 0; i < G_N_ELEMENTS (sim_steps); i++)
    {
      sim_steps[i].cpu_milli = 2000;
      sim_steps[i].estimate_ms = 1000;
      sim_steps[i].label = sim_steps[i].data_rack = sim_steps[i].image = "";
    }
  sim_steps[0].count = count;
  sim_steps[1].count = second;
  sim_steps[1].depends.depends_len = 1;
  sim_steps[1].depends.depends_val = first_step;
  sim_spec.host = sim_spec.prefix = sim_spec.spec = "x";
  sim_spec.steps.steps_len = second ? 2 : 1;
  sim_spec.steps.steps_val = sim_steps;
}
