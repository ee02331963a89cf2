/* Submissions whose spec has each character that a JSON string can have. */
#include "../standin-2/world.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KEY "k1"

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"h1.example\","
	"\"prefix\":\"/q1/\",\"type\":\"unsafe\",\"timeoutMs\":3000,"
	"\"targetCompletionMs\":600,\"priority\":0,\"service\":\"s1\","
	"\"attempts\":3,\"stretch\":1.6,\"public\":false}],\"services\":[{"
	"\"name\":\"s1\",\"rejectsOverload\":true}],\"limits\":{},\"tenants\":"
	"[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"weight\":50,\"cap\":{\"cpu\":"
	"0,\"memMb\":0,\"gpu\":0}}]}";

/* Specs as they are written in the body. */
static const char *const spec[] = {
	"reconcile ledger 7",
	"reconcile ledger 7 \\u0001\\u001f\\u007f",
	"reconcile ledger 7 \\\"quoted\\\" \\\\ \\/ \\n\\t",
	"reconcile ledger 7 \\u00e9\\u4e2d\\ud83d\\ude00",
	"reconcile ledger 7\\u0000--dry-run",
};
#define SPECS (sizeof(spec) / sizeof(*spec))

static char id[SPECS][17];
static int wrong;
static int seen;

static void check(struct minion *m, const char *task,
		  struct json_object *given)
{
	size_t i;

	for (i = 0; i < SPECS; i++) {
		char *text = g_strdup_printf("\"%s\"", spec[i]);
		struct json_object *sent = json_tokener_parse(text);
		bool same;

		if (!strncmp(task, id[i], 16)) {
			seen++;
			same = json_object_equal(sent, given);
			wrong += !same;
			note("start of %s on %s with spec %s, sent was %s%s",
			     task, m->id, json_object_to_json_string(given),
			     json_object_to_json_string(sent),
			     same ? "" : ": another spec");
		}
		json_object_put(sent);
		g_free(text);
	}
}

int main(int argc, char **argv)
{
	int accepted = 0;
	int i;

	(void)argc;
	trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	world_open(argv[1], argv[2], argv[3]);
	world_config(config);
	on_spec = check;
	for (i = 0; i < 6; i++)
		minion_add("s1", i % 2 ? "z2" : "z1", "r1-1", 32000, 131072);
	minions_start();
	node_add("z1");
	node_add("z2");
	for (i = 0; i < nodes; i++)
		node_start(&node[i]);
	if (!wait_for_owner(20000))
		return world_close(2);
	sleep(2);
	/* The last spec has the character U+0000. */
	for (i = 0; i < (int)SPECS - !trouble; i++) {
		char body[300];
		int status;

		snprintf(id[i], sizeof(id[i]), "%08x%08x", g_random_int(),
			 g_random_int());
		job_describe(id[i], 1000, 200);
		snprintf(body, sizeof(body),
			 "{\"spec\":\"%s\",\"steps\":[{\"count\":1,\"cpu\":1000,"
			 "\"memMb\":100,\"estimateMs\":200}]}",
			 spec[i]);
		status = job_post(&node[0], id[i], KEY, body);
		note("POST %s %s: %d", id[i], body, status);
		accepted += status == 200;
		sleep(1);
	}
	sleep(2);
	note("%d submissions were accepted, %d tasks started, %d with another "
	     "spec",
	     accepted, seen, wrong);
	return world_close(seen < accepted ? 2 : wrong > 0);
}
