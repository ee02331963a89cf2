/* Two tenants submit under one id, each to a queue of its own. */
#include "../standin-2/world.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define VISIBLE_MS 3000
#define JOBS 5

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"h1.example\","
	"\"prefix\":\"/q1/\",\"type\":\"unsafe\",\"timeoutMs\":3000,"
	"\"targetCompletionMs\":600,\"priority\":0,\"service\":\"s1\","
	"\"attempts\":3,\"stretch\":1.6,\"public\":false},{\"name\":\"r-2\","
	"\"host\":\"h1.example\",\"prefix\":\"/q2/\",\"type\":\"unsafe\","
	"\"timeoutMs\":3000,\"targetCompletionMs\":600,\"priority\":0,"
	"\"service\":\"s1\",\"attempts\":3,\"stretch\":1.6,\"public\":false}],"
	"\"services\":[{\"name\":\"s1\",\"rejectsOverload\":true}],\"limits\":"
	"{},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"weight\":50,"
	"\"cap\":{\"cpu\":0,\"memMb\":0,\"gpu\":0}},{\"name\":\"t2\","
	"\"apiKeys\":[\"k2\"],\"weight\":50,\"cap\":{\"cpu\":0,\"memMb\":0,"
	"\"gpu\":0}}]}";
static const char body[] =
	"{\"spec\":\"work of %s\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
	"\"memMb\":100,\"estimateMs\":200}]}";

static int call(const char *method, const char *queue, const char *id,
		const char *key, const char *text, char **answer)
{
	char head[200];
	char path[64];
	int status;

	snprintf(head, sizeof(head),
		 "Host: h1.example\r\nAuthorization: Token %s\r\n"
		 WIRE_DEADLINE "3000\r\n",
		 key);
	snprintf(path, sizeof(path), "/%s/%s", queue, id);
	status = http_call(node[0].front, method, path, head, text, 4000,
			   answer);
	note("%s /%s/%s with key %s: %d %s", method, queue, id, key, status,
	     answer && *answer ? *answer : "");
	return status;
}

int main(int argc, char **argv)
{
	int64_t visible_at;
	int lost = 0;
	int refused = 0;
	int i;

	(void)argc;
	trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	world_open(argv[1], argv[2], argv[3]);
	world_config(config);
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
	/* Each tenant numbers its submissions; their ranges differ without the
	 * disruption. */
	for (i = 0; i < 2 * JOBS; i++) {
		bool second = i >= JOBS;
		char id[17];
		char text[200];
		char *answer = NULL;
		int status;

		snprintf(id, sizeof(id), "%016x",
			 1 + (trouble ? i % JOBS : i));
		snprintf(text, sizeof(text), body, second ? "t2" : "t1",
			 second ? 3 : 2);
		job_describe(id, 1000, 200);
		status = call("POST", second ? "q2" : "q1", id,
			      second ? "k2" : "k1", text, &answer);
		g_free(answer);
		refused += status != 200;
		if (!second && status != 200)
			return world_close(2);
	}
	visible_at = now_ms() + VISIBLE_MS + 1000;
	while (now_ms() < visible_at)
		usleep(10000);
	for (i = 0; i < 2 * JOBS; i++) {
		bool second = i >= JOBS;
		char *answer = NULL;
		char id[17];

		snprintf(id, sizeof(id), "%016x",
			 1 + (trouble ? i % JOBS : i));
		lost += call("GET", second ? "q2" : "q1", id,
			     second ? "k2" : "k1", NULL, &answer) == 410;
		g_free(answer);
	}
	note("%d of %d submissions were refused, %d were accepted and are "
	     "answered 410",
	     refused, 2 * JOBS, lost);
	return world_close(lost > 0 && !refused);
}
