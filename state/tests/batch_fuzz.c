/**
 * @file batch_fuzz.c
 * Decodes arbitrary bytes, as a damaged log could return them, as batches and snapshots, and
 * applies the batches that decode. Nothing may crash.
 */
#include "cell.h"
#include "config.h"

#include <stdint.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
apply_twice (const ivx_batch *batch)
{
  struct iv_config *config = iv_config_new ();
  struct iv_cell *cell = iv_cell_new ("alpha");
  for (guint64 offset = 0; offset < 2; offset++)
    {
      iv_config_apply (config, offset, batch);
      iv_cell_apply (cell, offset, batch);
    }
  iv_config_free (config);
  iv_cell_free (cell);
}

static void
load_snapshots (const uint8_t *data, size_t size)
{
  iv_config_free (iv_config_load (data, size));
  iv_cell_free (iv_cell_load ("alpha", data, size));
}

/* A valid batch to mutate. It claims the domain and adds a worker, so that records of the owner are
   applied. */
static GByteArray *
encode_seed_batch (void)
{
  ivx_batch batch = { .writer = 1, .incarnation = 1, .sequence = 1, .term = 1 };
  GArray *records = iv_records_new ();
  ivx_record record = { .kind = IVX_CLAIM };
  GByteArray *bytes;
  record.ivx_record_u.claim = (ivx_claim){ 1, iv_record_strdup ("host") };
  iv_records_add (records, &record);
  record = (ivx_record){ .kind = IVX_WORKER };
  record.ivx_record_u.worker = (ivx_worker){
    iv_record_strdup ("w"), iv_record_strdup ("r"), iv_record_strdup ("a"), { 8000, 8000, 0 }, 0
  };
  iv_records_add (records, &record);
  for (guint kind = IVX_RENEW; kind <= IVX_JOB_REMOVED; kind++)
    {
      record = (ivx_record){ .kind = IVX_FINISH };
      record.ivx_record_u.finish = (ivx_finish){ 1, 1, IVX_DONE };
      iv_records_add (records, &record);
    }
  iv_batch_take (&batch, records);
  bytes = iv_batch_encode (&batch);
  iv_batch_clear (&batch);
  g_array_free (records, TRUE);
  return bytes;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GByteArray *bytes = encode_seed_batch ();
  ivx_batch batch;
  /* Byte pairs of the input are positions behind the batch header (28 bytes) and new values. */
  for (size_t i = 0; i + 1 < size && i < 16; i += 2)
    bytes->data[28 + data[i] % (bytes->len - 28)] = data[i + 1] % 40;
  if (iv_batch_decode (bytes->data, bytes->len, &batch) == IV_OK)
    {
      apply_twice (&batch);
      iv_batch_clear (&batch);
    }
  if (iv_batch_decode (data, size, &batch) == IV_OK)
    {
      apply_twice (&batch);
      iv_batch_clear (&batch);
    }
  load_snapshots (data, size);
  g_byte_array_free (bytes, TRUE);
  return 0;
}
