/* The owner is stopped for a restart while one minion is cut off. */
#include "../standin-2/world.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MINIONS 6
#define CAP_CPU 40000
#define QUOTA_OVERAGE 0.1
#define TASK_CPU 1000
#define TASK_WORK_MS 5000
#define CUT_MS 5500
#define KEY "k1"

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"h1.example\","
	"\"prefix\":\"/q1/\",\"type\":\"unsafe\",\"timeoutMs\":3000,"
	"\"targetCompletionMs\":600,\"priority\":0,\"service\":\"s1\","
	"\"attempts\":3,\"stretch\":1.6,\"public\":false}],\"services\":[{"
	"\"name\":\"s1\",\"rejectsOverload\":true}],\"limits\":{},\"tenants\":"
	"[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"weight\":50,\"cap\":{\"cpu\":"
	"40000,\"memMb\":0,\"gpu\":0}}]}";

static int64_t running; /* CPU of the tenant's tasks on all minions */
static int64_t most;
static int over;

/* All tasks are of the one tenant. */
static void count(struct minion *m, const char *name, int64_t run,
		  const char *what)
{
	const double limit = CAP_CPU * (1 + QUOTA_OVERAGE) + TASK_CPU;

	if (strcmp(what, "start")) {
		running -= TASK_CPU;
		return;
	}
	running += TASK_CPU;
	if (running > most)
		most = running;
	if (running <= limit)
		return;
	if (!over++)
		note("start of %s, run %" PRId64 ", on %s brings what runs for "
		     "the tenant to %" PRId64 ", the limit is %.0f",
		     name, run, m->id, running, limit);
}

static int submit(struct node *n, int tasks)
{
	char id[17];
	char body[300];
	int status;

	snprintf(id, sizeof(id), "%08x%08x", g_random_int(), g_random_int());
	job_describe(id, TASK_CPU, TASK_WORK_MS);
	snprintf(body, sizeof(body),
		 "{\"spec\":\"work\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
		 "\"memMb\":100,\"estimateMs\":%d}]}",
		 tasks, TASK_CPU, TASK_WORK_MS);
	status = job_post(n, id, KEY, body);
	note("POST %s of %d tasks at %s: %d", id, tasks, n->name, status);
	return status;
}

static struct minion *fullest(void)
{
	struct minion *m = &minion[0];
	int i;

	for (i = 1; i < minions; i++)
		if (minion[i].starts > m->starts)
			m = &minion[i];
	return m;
}

int main(int argc, char **argv)
{
	struct minion *cut;
	struct node *other;
	int64_t begin;
	int first;
	int i;

	(void)argc;
	trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	world_open(argv[1], argv[2], argv[3]);
	world_config(config);
	on_task = count;
	for (i = 0; i < MINIONS; i++)
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
	other = &node[(first + 1) % nodes];
	note("%s is the owner", node[first].name);
	if (submit(other, 60) != 200)
		return world_close(2);
	sleep(1);
	note("CPU of the tenant's running tasks: %" PRId64 ", cap %d", running,
	     CAP_CPU);
	if (running > CAP_CPU || running < CAP_CPU / 2)
		return world_close(2);
	cut = fullest();
	begin = now_ms();
	if (trouble) {
		cut->cut = true;
		note("%s is cut off, %" PRId64 " starts there", cut->id,
		     cut->starts);
		node_kill(&node[first], SIGTERM);
	}
	for (i = 0; i < 16; i++) {
		submit(other, 10);
		usleep(200000);
	}
	while (now_ms() < begin + CUT_MS)
		usleep(10000);
	cut->cut = false;
	if (trouble) {
		note("%s is back", cut->id);
		while (now_ms() < begin + GRACE_S * 1000)
			usleep(10000);
		node_kill(&node[first], SIGKILL);
		node_start(&node[first]);
	}
	sleep(4);
	note("most CPU that ran for the tenant: %" PRId64
	     ", cap %d; %d starts were beyond the limit",
	     most, CAP_CPU, over);
	return world_close(over > 0);
}
