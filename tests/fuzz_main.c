/**
 * @file fuzz_main.c
 * Runs a libFuzzer target on pseudo-random inputs in builds without libFuzzer.
 *
 * Usage: PROGRAM [RUNS [SEED]]. The inputs depend on the seed and the number of the run only. With
 * IV_FUZZ_TRACE set in the environment, each run is printed before it starts.
 */
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#define INPUT_BYTES_MAX 600

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static uint64_t generator_state; /* of a linear congruential generator */

static uint32_t
next_random (void)
{
  generator_state = generator_state * 6364136223846793005u + 1442695040888963407u;
  return (uint32_t)(generator_state >> 33);
}

int
main (int argc, char **argv)
{
  long runs = argc > 1 ? atol (argv[1]) : 1000;
  uint8_t input[INPUT_BYTES_MAX];
  uint64_t seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  for (long run = 0; run < runs; run++)
    {
      size_t size;
      generator_state = seed * 1000003u + (uint64_t)run;
      next_random ();
      size = next_random () % (INPUT_BYTES_MAX + 1);
      for (size_t i = 0; i < size; i++)
        input[i] = (uint8_t)next_random ();
      if (getenv ("IV_FUZZ_TRACE"))
        fprintf (stderr, "run %ld of seed %llu\n", run, (unsigned long long)seed);
      LLVMFuzzerTestOneInput (input, size);
    }
  printf ("%ld inputs of seed %llu, no failure\n", runs, (unsigned long long)seed);
  return 0;
}
