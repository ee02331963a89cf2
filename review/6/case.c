/* One minion fails what it starts for some seconds while a wide job runs. */
#include "../standin-2/world.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MINIONS 10
#define LABELLED 2
#define WIDE_TASKS 7200
#define TASK_CPU 10
#define TASK_WORK_MS 5000
#define GREY_MS 6500
#define SMALL_JOBS 10
#define KEY "k1"

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"h1.example\","
	"\"prefix\":\"/q1/\",\"type\":\"unsafe\",\"timeoutMs\":3000,"
	"\"targetCompletionMs\":600,\"priority\":0,\"service\":\"s1\","
	"\"attempts\":4,\"stretch\":1.6,\"public\":false}],\"services\":[{"
	"\"name\":\"s1\",\"rejectsOverload\":true}],\"limits\":{},\"tenants\":"
	"[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"weight\":50,\"cap\":{\"cpu\":"
	"0,\"memMb\":0,\"gpu\":0}}]}";

/* What the minions have seen of a job; on_task() is called with their lock. */
struct seen {
	char id[17];
	int64_t starts;
	int64_t done;
	int64_t failed;
	int64_t other;
	int64_t running;
	int64_t idle_since;
	bool first_step_done;
};

static struct seen job[1 + SMALL_JOBS];
static int seen_jobs;

static void count(struct minion *m, const char *name, int64_t run,
		  const char *what)
{
	int i;

	(void)m;
	(void)run;
	for (i = 0; i < seen_jobs; i++) {
		struct seen *j = &job[i];

		if (strncmp(name, j->id, 16))
			continue;
		if (!strcmp(what, "start")) {
			j->starts++;
			j->running++;
			return;
		}
		j->running--;
		j->idle_since = now_ms();
		if (!strcmp(what, "done"))
			j->done++;
		else if (!strcmp(what, "failed"))
			j->failed++;
		else
			j->other++;
	}
}

static bool submit(struct node *n, int64_t cpu, int64_t work_ms,
		   const char *body)
{
	struct seen *j = &job[seen_jobs];
	int status;

	snprintf(j->id, sizeof(j->id), "%08x%08x", g_random_int(),
		 g_random_int());
	job_describe(j->id, cpu, work_ms);
	seen_jobs++;
	status = job_post(n, j->id, KEY, body);
	note("POST %s: %d", j->id, status);
	return status == 200;
}

static bool completed(struct node *n, const struct seen *j)
{
	char state[32];

	return job_state(n, j->id, KEY, state, sizeof(state)) == 200 &&
	       !strcmp(state, "completed");
}

static void describe(struct node *n, const struct seen *j)
{
	char state[32];
	int status = job_state(n, j->id, KEY, state, sizeof(state));

	note("GET %s: %d %s; on minions: %" PRId64 " starts, %" PRId64
	     " done, %" PRId64 " failed, %" PRId64 " other ends, %" PRId64
	     " running",
	     j->id, status, state, j->starts, j->done, j->failed, j->other,
	     j->running);
}

int main(int argc, char **argv)
{
	char body[300];
	struct minion *grey = NULL;
	int64_t end;
	int stuck = 0;
	int ended = 0;
	int i;

	(void)argc;
	trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	world_open(argv[1], argv[2], argv[3]);
	world_config(config);
	on_task = count;
	for (i = 0; i < MINIONS; i++) {
		struct minion *m =
			minion_add("s1", i % 2 ? "z2" : "z1",
				   i < LABELLED ? "r1-1" : "r1-2", 64000,
				   131072);
		if (!i)
			grey = m;
	}
	minions_start();
	node_add("z1");
	node_add("z2");
	for (i = 0; i < nodes; i++)
		node_start(&node[i]);
	if (!wait_for_owner(20000))
		return world_close(2);
	sleep(2);
	if (trouble) {
		grey->grey = true;
		note("minion %s fails all that it starts", grey->id);
	}
	end = now_ms() + GREY_MS;
	snprintf(body, sizeof(body),
		 "{\"spec\":\"wide\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
		 "\"memMb\":36,\"estimateMs\":%d,\"requirements\":\"r1-1\"}]}",
		 WIDE_TASKS, TASK_CPU, TASK_WORK_MS);
	if (!submit(&node[0], TASK_CPU, TASK_WORK_MS, body))
		return world_close(2);
	while (now_ms() < end)
		usleep(10000);
	grey->grey = false;
	if (trouble)
		note("minion %s is well again", grey->id);
	describe(&node[0], &job[0]);
	sleep(10);
	for (i = 0; i < SMALL_JOBS; i++) {
		if (!submit(&node[i % nodes], 1000, 200,
			    "{\"spec\":\"small\",\"steps\":[{\"count\":4,"
			    "\"cpu\":1000,\"memMb\":100,\"estimateMs\":200},{"
			    "\"count\":2,\"cpu\":1000,\"memMb\":100,"
			    "\"estimateMs\":200,\"after\":[0]}]}"))
			return world_close(2);
		sleep(1);
	}
	note("the traffic has ended");
	end = now_ms() + (FINISH_S + 4) * 1000;
	while (now_ms() < end && ended < seen_jobs) {
		ended = 0;
		for (i = 0; i < seen_jobs; i++)
			ended += completed(&node[0], &job[i]);
		usleep(200000);
	}
	for (i = 0; i < seen_jobs; i++) {
		bool over = completed(&node[0], &job[i]);

		describe(&node[0], &job[i]);
		stuck += !over && !job[i].running &&
			 now_ms() > job[i].idle_since + 3000;
	}
	note("largest value of a row that was sent to the store: %" PRId64
	     " bytes of %d; %" PRId64 " transactions were refused for it",
	     store_largest_value, ROW_BYTES, store_refused);
	note("%d of %d accepted jobs are completed; of %d nothing has run for "
	     "3 s",
	     ended, seen_jobs, stuck);
	return world_close(stuck > 0);
}
