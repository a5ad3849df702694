/**
 * @file note_fuzz.c
 * Reading a release note or settings file must not crash if up to three bytes are changed and the
 * text is truncated at any length.
 */
#include "note.h"
#include "settings.h"

#include <stdint.h>
#include <string.h>

static const char note_text[]
    = "release: 2\nchanges: 1\nauthor: ops\nadded:\n  services:\n    - {name: ledger, team: t, "
      "cpu: 500m, "
      "memory: 1GiB, instances: 3}\n  jobs:\n    - {name: dues, team: t, cpu: 2, memory: 512MiB, "
      "run_time: 2m}\nwithdrawn: {jobs: [old]}\n";
static const char settings_text[]
    = "user: k\nhost: a\ndomain: north\nlisten: {callers: '127.0.0.1:1', operators: '127.0.0.1:2', "
      "peers: '127.0.0.1:3'}\nplatform: {address: '127.0.0.1:9'}\nmembers:\n  - {host: a, "
      "domain: north, peers: '127.0.0.1:3'}\nscheduling: {lease: 9s}\n";

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
read_as_note_and_settings (const char *text, gsize len)
{
  struct iv_findings *findings = iv_findings_new ("f");
  struct iv_settings settings;
  struct iv_config *config = iv_config_new ();
  struct iv_note *note = iv_note_read (text, len, findings);
  iv_note_check (note, config, NULL, findings);
  iv_note_free (note);
  iv_document_free (iv_settings_read (text, len, &settings, findings));
  iv_config_free (config);
  iv_findings_free (findings);
}

static void
read_mutated (const char *valid_text, const uint8_t *data, size_t size)
{
  char *text = g_strdup (valid_text);
  gsize len = strlen (valid_text);
  for (size_t i = 0; i + 2 < size && i < 9; i += 3)
    text[(data[i] << 8 | data[i + 1]) % len] = (char)data[i + 2];
  if (size > 10 && data[9] & 1)
    len = (gsize)(data[9] << 8 | data[10]) % (len + 1);
  read_as_note_and_settings (text, len);
  g_free (text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  read_mutated (note_text, data, size);
  read_mutated (settings_text, data, size);
  return 0;
}
