#include "app.h"
#include "event.h"
#include "fleet_app.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>

#define EXIT_OK 0
#define EXIT_FINDINGS 1
#define EXIT_USAGE 64
#define EXIT_UNAVAILABLE 69

const char *argp_program_version = "ibisvaned 0.1.0";

struct arguments
{
  const char *config;
};

static const struct argp_option options[] = {
  { "config", 'c', "FILE", 0, "Read the settings from FILE", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  switch (key)
    {
    case 'c':
      arguments->config = value;
      return 0;
    case ARGP_KEY_ARG:
      argp_error (state, "unexpected argument \"%s\"", value);
      return 0;
    case ARGP_KEY_END:
      if (arguments->config == NULL)
        argp_error (state, "--config FILE is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { options,
        parse_option,
        "",
        "The ibisvane daemon of an entry host.\v"
        "Exit status: 0 after a planned stop, 1 for findings in the settings, "
        "64 for wrong usage, 69 when a socket cannot be opened.",
        NULL,
        NULL,
        NULL };

static void
on_stop_signal (uv_signal_t *signal, int number)
{
  iv_app_leave (signal->data);
}

static void
on_fleet_stop_signal (uv_signal_t *signal, int number)
{
  iv_fleet_app_leave (signal->data);
}

/* The settings are read only at start; a changed file takes effect when the process restarts. */
static void
on_reload_signal (uv_signal_t *signal, int number)
{
  iv_event (IV_LEVEL_INFO, "host.reload", "effect=next_start");
}

static void
watch_signal (uv_loop_t *loop, uv_signal_t *handle, int number, uv_signal_cb callback,
              void *context)
{
  uv_signal_init (loop, handle);
  handle->data = context;
  uv_signal_start (handle, callback, number);
}

static int
run_fleet (struct iv_settings *settings)
{
  uv_loop_t *loop = uv_default_loop ();
  struct iv_fleet_app *app;
  uv_signal_t on_term, on_int, on_hup;
  iv_event_init (settings->host, (enum iv_level)settings->log_level);
  signal (SIGPIPE, SIG_IGN);
  app = iv_fleet_app_new (loop, settings);
  if (app == NULL)
    {
      iv_event (IV_LEVEL_ERROR, "host.failed", "reason=%s", iv_quote (iv_last_message ()));
      return EXIT_UNAVAILABLE;
    }
  watch_signal (loop, &on_term, SIGTERM, on_fleet_stop_signal, app);
  watch_signal (loop, &on_int, SIGINT, on_fleet_stop_signal, app);
  watch_signal (loop, &on_hup, SIGHUP, on_reload_signal, NULL);
  iv_event (IV_LEVEL_INFO, "host.started", "user=%s domain=%s jobs=%s ready=%s", settings->user,
            settings->domain, settings->fleet.jobs, settings->fleet.ready);
  uv_run (loop, UV_RUN_DEFAULT);
  return EXIT_OK;
}

static int
run (struct iv_settings *settings)
{
  struct iv_app app = { 0 };
  uv_signal_t on_term, on_int;
  iv_event_init (settings->host, (enum iv_level)settings->log_level);
  signal (SIGPIPE, SIG_IGN);
  if (!iv_app_start (&app, uv_default_loop (), settings))
    {
      iv_event (IV_LEVEL_ERROR, "host.failed", "reason=%s", iv_quote (iv_last_message ()));
      return EXIT_UNAVAILABLE;
    }
  watch_signal (app.loop, &on_term, SIGTERM, on_stop_signal, &app);
  watch_signal (app.loop, &on_int, SIGINT, on_stop_signal, &app);
  iv_event (IV_LEVEL_INFO, "host.started", "user=%s domain=%s callers=%s operators=%s peers=%s",
            settings->user, settings->domain, settings->listen.callers, settings->listen.operators,
            settings->listen.peers);
  uv_run (app.loop, UV_RUN_DEFAULT);
  return EXIT_OK;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };
  struct iv_settings settings;
  struct iv_findings *findings;
  char *text;
  gsize len;
  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  if (iv_read_file (arguments.config, IV_FILE_BYTES_MAX, &text, &len) != IV_OK)
    {
      fprintf (stderr, "ibisvaned: %s\n", iv_last_message ());
      return EXIT_FINDINGS;
    }
  findings = iv_findings_new (arguments.config);
  iv_settings_read (text, len, &settings, findings);
  if (iv_findings_count (findings) > 0)
    {
      char *report = iv_findings_text (findings);
      fputs (report, stderr);
      return EXIT_FINDINGS;
    }
  return settings.fleet.jobs ? run_fleet (&settings) : run (&settings);
}
