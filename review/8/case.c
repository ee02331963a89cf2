/* The store loses an answer; the caller gives up, cancels, and is told 410. */
#include "../standin-2/world.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define JOBS 3
#define STABLE_MS 3000
#define CANCEL_MS 3000
#define STOP_MS 400
#define LATE_MAX_MS 6000
#define LEAVE_MS 300

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"h1.example\","
	"\"prefix\":\"/q1/\",\"type\":\"unsafe\",\"timeoutMs\":3000,"
	"\"targetCompletionMs\":2500,\"priority\":0,\"service\":\"s1\","
	"\"attempts\":3,\"stretch\":2.2,\"public\":false}],\"services\":[{"
	"\"name\":\"s1\",\"rejectsOverload\":true}],\"limits\":{},\"tenants\":"
	"[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"weight\":50,\"cap\":{\"cpu\":"
	"0,\"memMb\":0,\"gpu\":0}}]}";
static const char body[] =
	"{\"spec\":\"review\",\"steps\":[{\"count\":5,\"cpu\":3600,\"memMb\":"
	"20000,\"estimateMs\":500,\"longRunning\":true}]}";

static void note_task(struct minion *m, const char *name, int64_t run,
		      const char *what)
{
	note("%s, run %" PRId64 " on %s: %s", name, run, m->id, what);
}

static int call(struct node *n, const char *method, const char *id,
		const char *text)
{
	char *answer = NULL;
	char path[64];
	int status;

	snprintf(path, sizeof(path), "/q1/%s", id);
	status = http_call(n->front, method, path,
			   "Host: h1.example\r\nAuthorization: Token k1\r\n"
			   WIRE_DEADLINE "3000\r\n",
			   text, LEAVE_MS, &answer);
	note("%s %s at %s: %d %s", method, id, n->name, status,
	     status ? answer : "no answer, the caller leaves");
	g_free(answer);
	return status;
}

struct post {
	struct node *at;
	char id[17];
	int status;
};

static gpointer post(gpointer arg)
{
	struct post *p = arg;

	p->status = call(p->at, "POST", p->id, body);
	return NULL;
}

int main(int argc, char **argv)
{
	struct node *at;
	struct node *other;
	struct post job[JOBS];
	GThread *thread[JOBS];
	int64_t begin;
	int64_t cancelled;
	int64_t calm;
	int running = 0;
	int first;
	int i;

	(void)argc;
	trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	world_open(argv[1], argv[2], argv[3]);
	world_config(config);
	on_task = note_task;
	for (i = 0; i < 6; i++)
		minion_add("s1", i % 2 ? "z2" : "z1", "r1-1", 32000, 131072);
	minions_start();
	node_add("z1");
	node_add("z2");
	node_add("z1");
	for (i = 0; i < nodes; i++)
		node_start(&node[i]);
	if (!wait_for_owner(20000))
		return world_close(2);
	sleep(2);
	first = owner_index();
	at = &node[(first + 1) % nodes];
	other = &node[(first + 2) % nodes];
	note("%s is the owner", node[first].name);
	store_lose_table = "job";
	store_lose = trouble ? JOBS : 0;
	begin = now_ms();
	for (i = 0; i < JOBS; i++) {
		job[i].at = at;
		snprintf(job[i].id, sizeof(job[i].id), "%08x%08x",
			 g_random_int(), g_random_int());
		job_describe(job[i].id, 3600, 600000);
		thread[i] = g_thread_new("post", post, &job[i]);
	}
	for (i = 0; i < JOBS; i++)
		g_thread_join(thread[i]);
	for (i = 0; i < JOBS; i++) {
		int status = call(other, "DELETE", job[i].id, NULL);

		if (status != 410 && status / 100 != 2)
			return world_close(2);
	}
	cancelled = now_ms();
	/* No task may be left after this stretch without a disturbance. */
	calm = MAX(cancelled, trouble ? begin + LATE_MAX_MS + STABLE_MS : 0);
	while (now_ms() < calm + CANCEL_MS + STOP_MS + 5000)
		usleep(10000);
	for (i = 0; i < JOBS; i++) {
		int64_t n = minions_running(job[i].id);

		call(other, "GET", job[i].id, NULL);
		note("%s: %" PRId64 " tasks run %" PRId64
		     " ms after its cancelling was acknowledged",
		     job[i].id, n, now_ms() - cancelled);
		running += n > 0;
	}
	note("%d of %d cancelled submissions run on", running, JOBS);
	return world_close(running > 0);
}
