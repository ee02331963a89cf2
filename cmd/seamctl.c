/*
 * seamctl - command-line tool for operators
 *
 * Exit codes: 0 done, 1 refused by the daemon, 2 for a wrong command line,
 * 3 for an invalid file, 4 if the daemon cannot be reached.
 */
#include <argp.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/client.h"
#include "version/conf.h"

enum { EXIT_REFUSED = 1, EXIT_USAGE, EXIT_FILE, EXIT_UNREACHABLE };

const char *argp_program_version = "seamctl 0.1";

static const char doc[] =
	"Operates a monsoonseam fleet through any of its nodes."
	"\v"
	"Commands:\n"
	"  check FILE    check a configuration without a daemon\n"
	"  show          print the configuration in force\n"
	"  diff FILE     print the change from it to FILE\n"
	"  apply FILE    apply that change; needs --message\n"
	"  log           list the changes, oldest first\n"
	"FILE may be - for standard input.\n\n"
	"Environment: SEAM_URL and SEAM_KEY replace --url and --key.\n"
	"Exit codes: 0 done, 1 refused, 2 usage, 3 invalid file, "
	"4 daemon not reached.";

static const struct argp_option options[] = {
	{"url", 'u', "URL", 0, "a daemon, http://IP:PORT", 0},
	{"key", 'k', "KEY", 0, "operators' key", 0},
	{"message", 'm', "TEXT", 0, "reason of the change", 0},
	{"operator", 'o', "NAME", 0, "who changes; default $USER", 0},
	{"expect", 'x', "VERSION", 0,
	 "apply only to this version; default is the one just read", 0},
	{"json", 'j', NULL, 0, "print JSON", 0},
	{0},
};

struct args {
	struct seam_client client;
	const char *message;
	const char *operator_name;
	int64_t expect;
	bool json;
	char *word[4];
	int words;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

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
		a->expect = strtoll(arg, NULL, 10);
		return 0;
	case 'j':
		a->json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (a->words == 4)
			argp_error(state, "too many words");
		a->word[a->words++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->words)
			argp_error(state, "a command is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.args_doc = "COMMAND [FILE]",
	.doc = doc,
};

static int refused(const struct seam_err *e)
{
	fprintf(stderr, "seamctl: %s: %s\n", seam_kind_info(e->kind)->name,
		e->text);
	return e->kind == SEAM_UNAVAILABLE ? EXIT_UNREACHABLE : EXIT_REFUSED;
}

static void print(struct json_object *o)
{
	puts(json_object_to_json_string_ext(
		o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_PRETTY_TAB |
			   JSON_C_TO_STRING_NOSLASHESCAPE));
}

static struct seam_conf *read_file(const char *name)
{
	struct seam_problems p = {.file = name};
	struct json_object *o = seam_json_file(name, &p);
	struct seam_conf *c = o ? seam_conf_parse(o, 1, &p) : NULL;
	size_t i;

	for (i = 0; i < p.n; i++)
		fprintf(stderr, "seamctl: %s\n", p.text[i]);
	seam_problems_free(&p);
	json_object_put(o);
	return c;
}

static struct seam_conf *fetch(struct args *a, struct seam_err *e)
{
	struct json_object *o =
		seam_client_call(&a->client, "GET", "/v1/config", NULL, e);
	struct seam_problems p = {.file = "daemon"};
	struct json_object *doc_obj = NULL;
	struct seam_conf *c = NULL;

	if (!o)
		return NULL;
	if (json_object_object_get_ex(o, "config", &doc_obj))
		c = seam_conf_parse(
			doc_obj, (uint64_t)seam_json_int(o, "version", 0), &p);
	if (!c)
		seam_problems_err(&p, SEAM_INTERNAL, e);
	seam_problems_free(&p);
	json_object_put(o);
	return c;
}

static int cmd_check(struct args *a)
{
	struct seam_conf *c = read_file(a->word[1]);

	if (!c)
		return EXIT_FILE;
	seam_conf_drop(c);
	return 0;
}

static int cmd_show(struct args *a)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o =
		seam_client_call(&a->client, "GET", "/v1/config", NULL, &e);

	if (!o)
		return refused(&e);
	print(o);
	json_object_put(o);
	return 0;
}

static int send_change(struct args *a, struct json_object *change,
		       uint64_t version, struct seam_err *e)
{
	struct json_object *req = json_object_new_object();
	struct json_object *answer;
	int64_t expected = a->expect >= 0 ? a->expect : (int64_t)version;

	json_object_object_add(req, "change", json_object_get(change));
	json_object_object_add(req, "reason",
			       json_object_new_string(a->message));
	json_object_object_add(req, "operator",
			       json_object_new_string(a->operator_name));
	json_object_object_add(req, "expected",
			       json_object_new_int64(expected));
	answer = seam_client_call(&a->client, "POST", "/v1/config",
				  json_object_to_json_string(req), e);
	json_object_put(req);
	if (!answer)
		return refused(e);
	printf("version %" PRId64 "\n", seam_json_int(answer, "version", 0));
	json_object_put(answer);
	return 0;
}

static int change_to(struct args *a, struct seam_conf *next, bool apply)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_conf *now = fetch(a, &e);
	struct json_object *change;
	int rc = 0;

	if (!now)
		return refused(&e);
	change = seam_conf_diff(now, next);
	if (apply)
		rc = send_change(a, change, seam_conf_version(now), &e);
	else
		print(change);
	json_object_put(change);
	seam_conf_drop(now);
	return rc;
}

static int diff_or_apply(struct args *a, bool apply)
{
	struct seam_conf *next;
	int rc;

	if (apply && !a->message) {
		fprintf(stderr, "seamctl: apply needs --message\n");
		return EXIT_USAGE;
	}
	next = read_file(a->word[1]);
	if (!next)
		return EXIT_FILE;
	rc = change_to(a, next, apply);
	seam_conf_drop(next);
	return rc;
}

static int cmd_diff(struct args *a)
{
	return diff_or_apply(a, false);
}

static int cmd_apply(struct args *a)
{
	return diff_or_apply(a, true);
}

static int cmd_log(struct args *a)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct json_object *o =
		seam_client_call(&a->client, "GET", "/v1/config/log", NULL, &e);
	size_t i;

	if (!o)
		return refused(&e);
	if (a->json)
		print(o);
	for (i = 0; !a->json && i < json_object_array_length(o); i++) {
		struct json_object *row = json_object_array_get_idx(o, i);

		printf("%-8" PRId64 " %-16s %s\n",
		       seam_json_int(row, "version", 0),
		       seam_json_str(row, "operator", ""),
		       seam_json_str(row, "reason", ""));
	}
	json_object_put(o);
	return 0;
}

static const struct {
	const char *name;
	int words;
	int (*run)(struct args *a);
} commands[] = {
	{"check", 2, cmd_check}, {"show", 1, cmd_show}, {"diff", 2, cmd_diff},
	{"apply", 2, cmd_apply}, {"log", 1, cmd_log},
};

static int run(struct args *a)
{
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		if (strcmp(commands[i].name, a->word[0]))
			continue;
		if (a->words != commands[i].words) {
			fprintf(stderr, "seamctl: %s takes %d words\n",
				a->word[0], commands[i].words - 1);
			return EXIT_USAGE;
		}
		return commands[i].run(a);
	}
	fprintf(stderr, "seamctl: no command %s\n", a->word[0]);
	return EXIT_USAGE;
}

static const char *from_env(const char *name, const char *def)
{
	const char *v = getenv(name);

	return v && *v ? v : def;
}

int main(int argc, char **argv)
{
	struct args a = {.expect = -1};
	int rc;

	a.client.url = from_env("SEAM_URL", "http://127.0.0.1:18080");
	a.client.key = from_env("SEAM_KEY", "");
	a.operator_name = from_env("USER", "operator");
	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run(&a);
	curl_global_cleanup();
	return rc;
}
