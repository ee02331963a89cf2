/*
 * seamd - the daemon that runs on every entry VM
 *
 * Exit codes: 0 after a complete drain, 1 if requests were still running at
 * its deadline, 2 for a wrong command line, 3 for wrong settings, 4 if it
 * cannot start.
 */
#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "cmd/common.h"
#include "cmd/embedded.h"
#include "platform/callers.h"
#include "platform/ports.h"
#include "process/node.h"
#include "process/platform_node.h"

#define LOG_LINES_PER_SEC 300 /* an overloaded owner writes about 150 */

enum { EXIT_DRAIN = 1, EXIT_USAGE, EXIT_SETTINGS, EXIT_START };

const char *argp_program_version = "seamd 0.1";

static const struct argp_option options[] = {
	{"settings", 's', "FILE", 0, "settings, JSON with comments", 0},
	{"platform", 'p', NULL, 0,
	 "run on the users' platform; the settings file is that of a node there "
	 "and defaults to the one named by " SEAM_PLATFORM_SETTINGS_ENV,
	 0},
	{"check", 'c', NULL, 0, "check the settings file and exit", 0},
	{"embedded", 'e', "FILE", 0,
	 "run platform, targets and workers in this process, with FILE as the "
	 "initial configuration",
	 0},
	{0},
};

struct args {
	const char *settings;
	const char *embedded;
	bool check;
	bool platform;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case 'e':
		a->embedded = arg;
		return 0;
	case 'c':
		a->check = true;
		return 0;
	case 'p':
		a->platform = true;
		return 0;
	case ARGP_KEY_END:
		if (a->platform && !a->settings)
			a->settings = getenv(SEAM_PLATFORM_SETTINGS_ENV);
		if (!a->settings)
			argp_error(state, "--settings is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.doc = "Runs one node of monsoonseam until SIGTERM or SIGINT, then "
	       "drains.",
};

static void print_problems(struct seam_problems *p)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		fprintf(stderr, "seamd: %s\n", p->text[i]);
	seam_problems_free(p);
}

static int read_settings(const char *file, struct seam_settings *s)
{
	struct seam_problems p = {.file = file};
	int rc = seam_settings_read_file(file, s, &p);

	print_problems(&p);
	return rc;
}

static void wait_for_signal(const sigset_t *set)
{
	int sig;

	sigwait(set, &sig);
	seam_log(SEAM_INFO, "node", "Signal %d received, draining.", sig);
}

/*
 * Exits without joining the threads: they may still be waiting for the store or
 * for workers, and have no unsaved state.
 */
static int run_platform(const struct args *a)
{
	struct seam_problems p = {.file = a->settings};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_platform_settings s;
	static struct seam_platform_node platform_node;
	struct seam_ports ports;
	sigset_t set;
	int rc;

	rc = seam_platform_settings_read_file(a->settings, &s, &p);
	print_problems(&p);
	if (rc)
		return EXIT_SETTINGS;
	if (a->check)
		return 0;
	seam_log_set_level((enum seam_level)s.log_level);
	seam_log_to_stdout(LOG_LINES_PER_SEC);
	cmd_block_signals(&set);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGHUP, SIG_IGN);
	if (seam_platform_ports(&ports, seam_clock_boot(), s.store,
				s.vm_service, s.node, &e) ||
	    seam_platform_node_start(&platform_node, &s, seam_clock_boot(),
				     &ports, &seam_platform_front, &e)) {
		fprintf(stderr, "seamd: %s\n", e.text);
		return EXIT_START;
	}
	wait_for_signal(&set);
	rc = seam_platform_node_drain(&platform_node) ? 0 : EXIT_DRAIN;
	fflush(stdout);
	_exit(rc);
}

static int run(struct seam_node *n, const sigset_t *set, struct seam_err *e)
{
	struct seam_clock *k = n->clock;

	if (seam_node_start(n, e)) {
		fprintf(stderr, "seamd: %s\n", e->text);
		return EXIT_START;
	}
	wait_for_signal(set);
	if (seam_node_drain(n, seam_now(k) + n->settings.drain_ms * SEAM_MSEC))
		return 0;
	fprintf(stderr, "seamd: requests still running at the deadline\n");
	return EXIT_DRAIN;
}

static int run_embedded(const struct seam_settings *s, const char *config,
			const sigset_t *set)
{
	struct seam_clock *k = seam_clock_real();
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_embedded *m = seam_embedded_new(k, s->data_centre, &e);
	struct seam_node *n = NULL;
	int rc = EXIT_START;

	if (m && !cmd_write_initial_config(seam_embedded_store(m), config,
					   "embedded", &e))
		n = seam_node_new(s, k, seam_embedded_store(m),
				  seam_embedded_platform(m), &e);
	if (n)
		rc = run(n, set, &e);
	else
		fprintf(stderr, "seamd: %s\n", e.text);
	seam_node_free(n);
	seam_embedded_free(m);
	return rc;
}

/* Uses the platform over HTTP; store calls are limited by the node's budget. */
static int run_standalone(const struct seam_settings *s, const sigset_t *set)
{
	struct seam_clock *k = seam_clock_real();
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_budget_conf c = {.writes = s->store_writes,
				     .reads = s->store_reads,
				     .seed = seam_store_token()};
	struct seam_store *http = seam_store_http_new(k, s->store);
	struct seam_store *store = seam_store_budget_new(http, k, &c);
	struct seam_platform *p = seam_platform_http_new(k, s->store);
	struct seam_node *n = seam_node_new(s, k, store, p, &e);
	int rc = EXIT_START;

	if (n)
		rc = run(n, set, &e);
	else
		fprintf(stderr, "seamd: %s\n", e.text);
	seam_node_free(n);
	seam_platform_http_free(p);
	seam_store_close(store);
	return rc;
}

int main(int argc, char **argv)
{
	struct args a = {NULL, NULL, false, false};
	struct seam_settings s;
	sigset_t set;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (a.platform)
		return run_platform(&a);
	if (read_settings(a.settings, &s))
		return EXIT_SETTINGS;
	if (a.check)
		return 0;
	seam_log_set_level((enum seam_level)s.log_level);
	cmd_block_signals(&set);
	if (a.embedded)
		return run_embedded(&s, a.embedded, &set);
	if (!strcmp(s.store, "memory")) {
		fprintf(stderr, "seamd: store memory requires --embedded\n");
		return EXIT_START;
	}
	return run_standalone(&s, &set);
}
