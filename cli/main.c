#include "note.h"
#include "render.h"
#include "report.h"
#include "request.h"
#include "settings.h"
#include "trace.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SERVER "127.0.0.1:7081"
#define TIMEOUT_MS 15000
#define ARGUMENTS_MAX 4

/* Exit codes, documented in the man page. */
enum exit_code
{
  EXIT_OK = 0,
  EXIT_FINDINGS = 1,     /* the file has findings; nothing was applied */
  EXIT_CONFLICT = 2,     /* another operator was first, or the object does not exist */
  EXIT_NOT_RUN = 3,      /* nothing was changed; the host or the log cannot be reached */
  EXIT_MAY_HAVE_RUN = 4, /* it may have taken effect */
  EXIT_USAGE = 64
};

const char *argp_program_version = "ibisvane 0.1.0";

struct arguments
{
  const char *server;
  gboolean json;
  gboolean csv;
  enum iv_report_grouping by;
  guint count;
  const char *words[ARGUMENTS_MAX];
};

struct command
{
  const char *words[2];
  guint operand_count; /* operands after the words, 0 or 1 */
  int (*run) (const struct command *command, const struct arguments *arguments,
              const char *operand);
  const char *method;
  const char *path; /* %s stands for the operand */
  enum iv_view view;
};

static const struct argp_option options[] = {
  { "server", 's', "IP:PORT", 0,
    "Operators' address of an entry host (default " DEFAULT_SERVER ", or IBISVANE_SERVER)", 0 },
  { "output", 'o', "FORMAT", 0, "text (default), json, or csv for reports", 0 },
  { "by", 'b', "WHAT", 0, "Rows of a report: workload (default), team, domain or host", 0 },
  { 0 },
};

static const char *const by_names[] = { "workload", "team", "domain", "host" };

static int
exit_code_for (const struct iv_response *response)
{
  if (response->result == IV_HTTP_NOT_SENT)
    return EXIT_NOT_RUN;
  if (response->result == IV_HTTP_INCOMPLETE || response->status == 504)
    return EXIT_MAY_HAVE_RUN;
  if (response->status < 300)
    return EXIT_OK;
  if (response->status == 422)
    return EXIT_FINDINGS;
  return response->status == 404 || response->status == 409 ? EXIT_CONFLICT : EXIT_NOT_RUN;
}

static void
print_failure (const struct iv_response *response, const struct arguments *arguments,
               const char *file)
{
  const char *detail = json_string_value (json_object_get (response->body, "detail"));
  if (response->result == IV_HTTP_NOT_SENT)
    fprintf (stderr, "ibisvane: %s cannot be reached; nothing was changed\n", arguments->server);
  else if (response->result == IV_HTTP_INCOMPLETE)
    fprintf (stderr, "ibisvane: %s did not answer; it may have taken effect\n", arguments->server);
  else if (response->status == 422 && file && detail)
    for (char **line = g_strsplit (detail, "\n", -1); *line && **line; line++)
      fprintf (stderr, "%s%s\n", file, strchr (*line, ':'));
  else
    fprintf (stderr, "ibisvane: %s\n", detail ? detail : "the host refused");
}

static void
print_response (const struct command *command, const struct arguments *arguments,
                const struct iv_response *response)
{
  char *text;
  if (arguments->json)
    {
      text = json_dumps (response->body, JSON_INDENT (2) | JSON_ENCODE_ANY);
      puts (text ? text : "null");
      free (text);
      return;
    }
  text = iv_render (command->view, response->body);
  fputs (text, stdout);
  g_free (text);
}

static int
send_command (const struct command *command, const struct arguments *arguments, const char *operand,
              const char *body, gsize len, const char *file)
{
  char *escaped = g_uri_escape_string (operand ? operand : "", NULL, FALSE);
  char *path = g_strdup_printf (command->path, escaped);
  struct iv_response response
      = iv_request (arguments->server, command->method, path, body, len, TIMEOUT_MS);
  int code = exit_code_for (&response);
  if (code == EXIT_OK)
    print_response (command, arguments, &response);
  else
    print_failure (&response, arguments, file);
  iv_response_clear (&response);
  g_free (path);
  g_free (escaped);
  return code;
}

static int
run_without_file (const struct command *command, const struct arguments *arguments,
                  const char *operand)
{
  return send_command (command, arguments, operand, NULL, 0, NULL);
}

static int
run_with_file (const struct command *command, const struct arguments *arguments,
               const char *operand)
{
  char *text;
  gsize len;
  int code;
  if (iv_read_file (operand, IV_FILE_BYTES_MAX, &text, &len) != IV_OK)
    {
      fprintf (stderr, "ibisvane: %s\n", iv_last_message ());
      return EXIT_FINDINGS;
    }
  code = send_command (command, arguments, NULL, text, len, operand);
  g_free (text);
  return code;
}

/* Settings files have the top-level keys host, listen and members; release notes have release. */
static gboolean
looks_like_settings (const char *text)
{
  return g_regex_match_simple ("^(host|listen|members):", text, G_REGEX_MULTILINE, 0);
}

static int
run_check (const struct command *command, const struct arguments *arguments, const char *operand)
{
  struct iv_findings *findings = iv_findings_new (operand);
  struct iv_settings settings;
  char *text, *report;
  gsize len;
  guint count;
  if (iv_read_file (operand, IV_FILE_BYTES_MAX, &text, &len) != IV_OK)
    {
      fprintf (stderr, "ibisvane: %s\n", iv_last_message ());
      return EXIT_FINDINGS;
    }
  if (looks_like_settings (text))
    iv_document_free (iv_settings_read (text, len, &settings, findings));
  else
    iv_note_free (iv_note_read (text, len, findings));
  report = iv_findings_text (findings);
  count = iv_findings_count (findings);
  fputs (report, stderr);
  if (count == 0)
    printf ("%s: no findings\n", operand);
  g_free (report);
  g_free (text);
  iv_findings_free (findings);
  return count == 0 ? EXIT_OK : EXIT_FINDINGS;
}

static int
run_report (const struct command *command, const struct arguments *arguments, const char *operand)
{
  struct iv_response response
      = iv_request (arguments->server, "GET", command->path, NULL, 0, TIMEOUT_MS);
  enum iv_report_format format = arguments->json  ? IV_REPORT_JSON
                                 : arguments->csv ? IV_REPORT_CSV
                                                  : IV_REPORT_TEXT;
  int code = exit_code_for (&response);
  if (code == EXIT_OK)
    {
      char *text = iv_report_render (response.body, arguments->by, format);
      fputs (text, stdout);
      g_free (text);
    }
  else
    print_failure (&response, arguments, NULL);
  iv_response_clear (&response);
  return code;
}

/* Reads logs from standard input, so that the logs of several hosts can be concatenated. */
static int
run_trace (const struct command *command, const struct arguments *arguments, const char *operand)
{
  struct iv_trace *trace = iv_trace_read (stdin, operand);
  char *text = arguments->json ? iv_trace_json (trace) : iv_trace_text (trace);
  int code = iv_trace_line_count (trace) > 0 ? EXIT_OK : EXIT_CONFLICT;
  fputs (text, stdout);
  g_free (text);
  iv_trace_free (trace);
  return code;
}

static const struct command commands[] = {
  { { "check", NULL }, 1, run_check, NULL, NULL, IV_VIEW_KEY_VALUES },
  { { "release", "publish" }, 1, run_with_file, "POST", "/v1/releases", IV_VIEW_KEY_VALUES },
  { { "release", "show" }, 0, run_without_file, "GET", "/v1/releases/current", IV_VIEW_RELEASE },
  { { "release", "history" }, 0, run_without_file, "GET", "/v1/releases", IV_VIEW_HISTORY },
  { { "domain", "out" }, 1, run_without_file, "POST", "/v1/domains/%s/out", IV_VIEW_KEY_VALUES },
  { { "domain", "in" }, 1, run_without_file, "POST", "/v1/domains/%s/in", IV_VIEW_KEY_VALUES },
  { { "job", "submit" }, 1, run_with_file, "POST", "/v1/jobs", IV_VIEW_KEY_VALUES },
  { { "job", "list" }, 0, run_without_file, "GET", "/v1/jobs", IV_VIEW_JOBS },
  { { "job", "show" }, 1, run_without_file, "GET", "/v1/jobs/%s", IV_VIEW_JOB },
  { { "job", "cancel" }, 1, run_without_file, "POST", "/v1/jobs/%s/cancel", IV_VIEW_KEY_VALUES },
  { { "status", NULL }, 0, run_without_file, "GET", "/v1/status", IV_VIEW_STATUS },
  { { "report", NULL }, 0, run_report, "GET", "/v1/report", IV_VIEW_KEY_VALUES },
  { { "trace", NULL }, 1, run_trace, NULL, NULL, IV_VIEW_KEY_VALUES },
};

static const struct command *
find_command (const struct arguments *arguments, const char **operand)
{
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const struct command *command = &commands[i];
      guint words = command->words[1] ? 2 : 1;
      if (arguments->count != words + command->operand_count
          || strcmp (arguments->words[0], command->words[0]) != 0
          || (words == 2 && strcmp (arguments->words[1], command->words[1]) != 0))
        continue;
      *operand = command->operand_count ? arguments->words[words] : NULL;
      return command;
    }
  return NULL;
}

static void
parse_output (struct argp_state *state, struct arguments *arguments, const char *value)
{
  arguments->json = strcmp (value, "json") == 0;
  arguments->csv = strcmp (value, "csv") == 0;
  if (!arguments->json && !arguments->csv && strcmp (value, "text") != 0)
    argp_error (state, "--output takes text, json or csv, not \"%s\"", value);
}

static void
parse_by (struct argp_state *state, struct arguments *arguments, const char *value)
{
  for (guint i = 0; i < G_N_ELEMENTS (by_names); i++)
    if (strcmp (by_names[i], value) == 0)
      {
        arguments->by = (enum iv_report_grouping)i;
        return;
      }
  argp_error (state, "--by takes workload, team, domain or host, not \"%s\"", value);
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  switch (key)
    {
    case 's':
      arguments->server = value;
      return 0;
    case 'o':
      parse_output (state, arguments, value);
      return 0;
    case 'b':
      parse_by (state, arguments, value);
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->count >= ARGUMENTS_MAX)
        argp_error (state, "too many arguments");
      else
        arguments->words[arguments->count++] = value;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  options,
  parse_option,
  "check FILE\nrelease publish FILE\nrelease show\nrelease history\ndomain out NAME\ndomain in "
  "NAME\n"
  "job submit FILE\njob list\njob show NAME\njob cancel NAME\nstatus\nreport\ntrace ID",
  "Operate ibisvane.\v"
  "Exit status: 0 done; 1 the file has findings and nothing was applied; 2 another operator was "
  "first or the object does not exist; 3 nothing was changed, the host or the log cannot be "
  "reached; 4 it may have taken effect; 64 wrong usage.",
  NULL,
  NULL,
  NULL
};

int
main (int argc, char **argv)
{
  struct arguments arguments = { .server = g_getenv ("IBISVANE_SERVER") };
  const struct command *command;
  const char *operand = NULL;
  char ip[64];
  guint16 port;
  signal (SIGPIPE, SIG_IGN);
  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  if (arguments.server == NULL)
    arguments.server = DEFAULT_SERVER;
  if (!iv_parse_address (arguments.server, ip, &port))
    {
      fprintf (stderr, "ibisvane: --server \"%s\" is not an IP number with a port\n",
               arguments.server);
      return EXIT_USAGE;
    }
  command = arguments.count > 0 ? find_command (&arguments, &operand) : NULL;
  if (command == NULL)
    {
      argp_help (&parser, stderr, ARGP_HELP_STD_ERR & ~ARGP_HELP_EXIT_ERR, (char *)"ibisvane");
      return EXIT_USAGE;
    }
  return command->run (command, &arguments, operand);
}
