/**
 * @file fuzz_main.c
 * Runs a libFuzzer target on pseudo-random inputs, where libFuzzer itself is not linked:
 * PROGRAM [RUNS [SEED]]. The same runs and seed give the same inputs.
 */
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#define INPUT_MAX 600

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static uint64_t state;

static uint32_t
next (void)
{
  state = state * 6364136223846793005u + 1442695040888963407u;
  return (uint32_t)(state >> 33);
}

int
main (int argc, char **argv)
{
  long runs = argc > 1 ? atol (argv[1]) : 1000;
  uint8_t input[INPUT_MAX];
  uint64_t seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  for (long run = 0; run < runs; run++)
    {
      size_t size;
      state = seed * 1000003u + (uint64_t)run;
      next ();
      size = next () % (INPUT_MAX + 1);
      for (size_t i = 0; i < size; i++)
        input[i] = (uint8_t)next ();
      if (getenv ("IV_FUZZ_TRACE"))
        fprintf (stderr, "run %ld of seed %llu\n", run, (unsigned long long)seed);
      LLVMFuzzerTestOneInput (input, size);
    }
  printf ("%ld inputs of seed %llu, no failure\n", runs, (unsigned long long)seed);
  return 0;
}
