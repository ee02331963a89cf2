/* A caller of a public queue cancels its own submission. */
#include "../standin-2/world.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define JOBS 5
#define TASKS 4
#define WORK_MS 5000

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"h1.example\","
	"\"prefix\":\"/q1/\",\"type\":\"unsafe\",\"timeoutMs\":3000,"
	"\"targetCompletionMs\":600,\"priority\":0,\"service\":\"s1\","
	"\"attempts\":3,\"stretch\":1.6,\"public\":false},{\"name\":\"r-2\","
	"\"host\":\"h1.example\",\"prefix\":\"/q2/\",\"type\":\"unsafe\","
	"\"timeoutMs\":3000,\"targetCompletionMs\":2500,\"priority\":0,"
	"\"service\":\"s1\",\"attempts\":3,\"stretch\":2.2,\"public\":true}],"
	"\"services\":[{\"name\":\"s1\",\"rejectsOverload\":true}],\"limits\":"
	"{},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"weight\":50,"
	"\"cap\":{\"cpu\":0,\"memMb\":0,\"gpu\":0}}]}";

static char id[JOBS][17];
static int stopped[JOBS];

static void count(struct minion *m, const char *name, int64_t run,
		  const char *what)
{
	int i;

	if (strcmp(what, "stopped"))
		return;
	for (i = 0; i < JOBS; i++)
		if (!strncmp(name, id[i], 16)) {
			stopped[i]++;
			note("%s, run %" PRId64 ", is stopped on %s", name, run,
			     m->id);
		}
}

static int call(const char *method, const char *queue, const char *job,
		const char *key, const char *text, char **answer)
{
	char head[200];
	char path[64];
	int status;

	snprintf(head, sizeof(head),
		 "Host: h1.example\r\n%s%s%sMonsoonseam-Deadline-Ms: 3000\r\n",
		 key ? "Authorization: Token " : "", key ? key : "",
		 key ? "\r\n" : "");
	snprintf(path, sizeof(path), "/%s/%s", queue, job);
	status = http_call(node[0].front, method, path, head, text, 4000,
			   answer);
	note("%s /%s/%s with %s: %d %s", method, queue, job, key ? key : "no key",
	     status, answer && *answer ? *answer : "");
	return status;
}

int main(int argc, char **argv)
{
	int cancelled = 0;
	int completed = 0;
	int i;

	(void)argc;
	trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	world_open(argv[1], argv[2], argv[3]);
	world_config(config);
	on_task = count;
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
	for (i = 0; i < JOBS; i++) {
		char text[200];

		snprintf(id[i], sizeof(id[i]), "%016x", 1 + i);
		snprintf(text, sizeof(text),
			 "{\"spec\":\"reconcile\",\"steps\":[{\"count\":%d,"
			 "\"cpu\":1000,\"memMb\":100,\"estimateMs\":%d}]}",
			 TASKS, WORK_MS);
		job_describe(id[i], 1000, WORK_MS);
		if (call("POST", "q1", id[i], "k1", text, NULL) != 200)
			return world_close(2);
	}
	sleep(1);
	/* Another caller, of the public queue, numbers its submissions too;
	 * its range differs without the disruption. */
	for (i = 0; i < JOBS; i++) {
		char *answer = NULL;
		char other[17];

		snprintf(other, sizeof(other), "%016x",
			 1 + i + (trouble ? 0 : 1000));
		call("POST", "q2", other, NULL,
		     "{\"spec\":\"feed\",\"steps\":[{\"count\":1,\"cpu\":"
		     "1000,\"memMb\":100,\"estimateMs\":500,\"longRunning\":"
		     "true}]}",
		     &answer);
		g_free(answer);
		call("GET", "q2", other, NULL, NULL, &answer);
		g_free(answer);
		call("DELETE", "q2", other, NULL, NULL, &answer);
		g_free(answer);
	}
	sleep(WORK_MS / 1000 + 3);
	for (i = 0; i < JOBS; i++) {
		char *answer = NULL;

		call("GET", "q1", id[i], "k1", NULL, &answer);
		cancelled += answer && strstr(answer, "cancelled") != NULL;
		completed += answer && strstr(answer, "completed") != NULL;
		g_free(answer);
	}
	note("of %d submissions of the first tenant, which nobody has "
	     "cancelled, %d are completed and %d are shown as cancelled",
	     JOBS, completed, cancelled);
	return world_close(cancelled ? 1 : completed < JOBS ? 2 : 0);
}
