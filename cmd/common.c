#include "cmd/common.h"

#include <pthread.h>

#include "version/conf.h"

#define COMMIT_TIMEOUT (5 * SEAM_SEC)

int cmd_write_initial_config(struct seam_store *s, const char *file,
			     const char *operator_name, struct seam_err *e)
{
	struct seam_clock *k = seam_clock_real();
	struct seam_problems p = {.file = file};
	struct json_object *doc = seam_json_parse_file(file, &p);
	struct seam_conf *initial = doc ? seam_conf_parse(doc, 1, &p) : NULL;
	struct seam_conf *empty = seam_conf_empty();
	struct seam_conf *committed = NULL;
	struct seam_conf_change ch = {.reason = "first configuration",
				      .operator_name = operator_name};

	if (initial && !p.n) {
		ch.change = seam_conf_diff(empty, initial);
		committed = seam_conf_commit(s, k, &ch,
					     seam_now(k) + COMMIT_TIMEOUT, e);
		json_object_put(ch.change);
	} else {
		seam_problems_to_err(&p, SEAM_BAD_CONFIG, e);
	}
	seam_problems_free(&p);
	json_object_put(doc);
	seam_conf_unref(initial);
	seam_conf_unref(empty);
	seam_conf_unref(committed);
	return committed ? 0 : -1;
}

void cmd_block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}
