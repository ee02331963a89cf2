/*
 * seamctl - command-line tool for operators
 */
#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/ctl.h"

const char *argp_program_version = "seamctl 0.1";

static const char doc[] =
	"Operates a monsoonseam fleet through any of its nodes."
	"\v"
	"Configuration:\n"
	"  check FILE            check a configuration without a daemon\n"
	"  show                  print the current configuration, as apply "
	"reads it\n"
	"  diff FILE             print the changes from it to FILE\n"
	"  apply FILE            replace it with FILE; needs --message\n"
	"  log                   list all changes, oldest first\n"
	"  dc out NAME           take a data centre out of service; needs "
	"--message\n"
	"  dc in NAME            put it back into service; needs --message\n"
	"  key withdraw NAME     withdraw a key; needs --message\n"
	"  key grant NAME        restore a withdrawn key; needs --message\n"
	"State:\n"
	"  pools                 members, availability budget, maintenance\n"
	"  teams                 limits and grants in units; HERE is the node "
	"asked\n"
	"  nodes                 the node asked and the other members it knows\n"
	"  workers               cores and memory in use, quarantine\n"
	"  task ID               show a task\n"
	"  tasks QUEUE           list the tasks of a queue\n"
	"  explain KIND NAME     explain a state: task ID, vm ID, pool NAME, team "
	"NAME\n"
	"Orders:\n"
	"  wave start POOL       start a maintenance wave; needs --message\n"
	"  wave halt POOL        halt the wave; needs --message\n"
	"FILE may be - for standard input. Times are UTC.\n\n"
	"Environment: SEAM_URL and SEAM_KEY are the defaults of --url and "
	"--key.\n"
	"Exit codes: 0 done, 1 refused, 2 wrong command line, 3 invalid "
	"file, 4 daemon or its store not reached.";

static const struct argp_option options[] = {
	{"url", 'u', "URL", 0, "daemon to call; default http://127.0.0.1:18080",
	 0},
	{"key", 'k', "KEY", 0, "operators' key", 0},
	{"message", 'm', "TEXT", 0, "reason for the change", 0},
	{"operator", 'o', "NAME", 0,
	 "operator recorded with the change; default $USER", 0},
	{"expect", 'x', "VERSION", 0,
	 "version of the configuration or of the wave order that the change "
	 "requires; default is the version just read, or any wave order",
	 0},
	{"json", 'j', NULL, 0, "print the answer as JSON", 0},
	{0},
};

static const struct {
	const char *name;
	int argc; /* the command included */
	bool needs_message;
	int (*run)(struct ctl *a);
} commands[] = {
	{"check", 2, false, ctl_check},	    {"show", 1, false, ctl_show},
	{"diff", 2, false, ctl_diff},	    {"apply", 2, true, ctl_apply},
	{"log", 1, false, ctl_log},	    {"dc", 3, true, ctl_dc},
	{"key", 3, true, ctl_key},	    {"pools", 1, false, ctl_list},
	{"teams", 1, false, ctl_list},	    {"nodes", 1, false, ctl_list},
	{"workers", 1, false, ctl_list},    {"task", 2, false, ctl_task},
	{"tasks", 2, false, ctl_tasks},	    {"wave", 3, true, ctl_wave},
	{"explain", 3, false, ctl_explain},
};

static void parse_expect(struct ctl *a, const char *arg,
			 struct argp_state *state)
{
	char *end;

	a->expect = strtoll(arg, &end, 10);
	if (*end || end == arg || a->expect < 0)
		argp_error(state, "--expect takes a version number");
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct ctl *a = state->input;

	switch (key) {
	case 'u':
		a->client.url = arg;
		return 0;
	case 'k':
		a->client.key = arg;
		return 0;
	case 'm':
		a->message = arg;
		return 0;
	case 'o':
		a->operator_name = arg;
		return 0;
	case 'x':
		parse_expect(a, arg, state);
		return 0;
	case 'j':
		a->json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (a->argc == CTL_ARGS_MAX)
			argp_error(state, "too many arguments");
		a->argv[a->argc++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->argc)
			argp_error(state, "a command is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.args_doc = "COMMAND [ARGUMENT...]",
	.doc = doc,
};

static int run(struct ctl *a)
{
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		if (strcmp(commands[i].name, a->argv[0]))
			continue;
		if (a->argc != commands[i].argc) {
			fprintf(stderr, "seamctl: %s takes %d arguments\n",
				a->argv[0], commands[i].argc - 1);
			return CTL_USAGE;
		}
		if (commands[i].needs_message &&
		    (!a->message || !*a->message)) {
			fprintf(stderr, "seamctl: %s needs --message\n",
				a->argv[0]);
			return CTL_USAGE;
		}
		return commands[i].run(a);
	}
	fprintf(stderr, "seamctl: unknown command %s\n", a->argv[0]);
	return CTL_USAGE;
}

static const char *env_or_default(const char *name, const char *default_value)
{
	const char *v = getenv(name);

	return v && *v ? v : default_value;
}

int main(int argc, char **argv)
{
	struct ctl a = {.expect = -1};
	int rc;

	a.client.url = env_or_default("SEAM_URL", "http://127.0.0.1:18080");
	a.client.key = env_or_default("SEAM_KEY", "");
	a.operator_name = env_or_default("USER", "operator");
	argp_err_exit_status = CTL_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run(&a);
	curl_global_cleanup();
	return rc;
}
