/* Minions: they run tasks, hold leases and fences, and write their rows. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BEAT_MS 1500
#define MAX_HOLD_MS 10000
#define ENDS_MAX 500
#define STOP_MS 50
#define TICK_MS 5

struct run {
	char *task;
	int64_t run;
	int64_t cpu;
	int64_t end_at; /* 0: it lasts */
	int64_t stop_at; /* 0: it is not being stopped */
};

struct end {
	int64_t number;
	char *task;
	int64_t run;
	const char *how;
};

struct minion {
	char *id;
	int port;
	char *service;
	char *zone;
	char *machine;
	int64_t cpu;
	int64_t born;
	int64_t begun;
	int64_t fence;
	int64_t lease;
	int64_t used;
	GPtrArray *runs;
	GArray *ends;
	GHashTable *highest; /* task to its highest run that was stopped or
				has ended */
	int64_t number;
	int64_t sequence;
	int silent; /* intervals without a status report */
	bool dark; /* it has crashed, and answers nothing */
	struct json_object *kept; /* a start without an answer */
	GMutex lock;
	GCond ended;
};

static GPtrArray *minions;
/* The minion that gets the next start crashes for so long, and keeps it. */
static int64_t crash_ms;
static bool crashed;

static int64_t clock_of(const struct minion *m)
{
	return now_ms() - m->begun + 1000;
}

static void note_highest(struct minion *m, const char *task, int64_t run)
{
	int64_t *seen = g_hash_table_lookup(m->highest, task);

	if (seen && *seen >= run)
		return;
	g_hash_table_replace(m->highest, g_strdup(task),
			     g_memdup2(&run, sizeof(run)));
}

static void end_run(struct minion *m, guint i, const char *how)
{
	struct run *r = g_ptr_array_index(m->runs, i);
	struct end e = {++m->number, r->task, r->run, how};

	record("end minion=%s task=%s run=%lld how=%s", m->id, r->task,
	       (long long)r->run, how);
	g_array_append_val(m->ends, e);
	note_highest(m, r->task, r->run);
	m->used -= r->cpu;
	g_ptr_array_remove_index(m->runs, i);
	g_free(r);
	g_cond_broadcast(&m->ended);
}

static int64_t figure(const char *text, const char *name);

/* Carries out a start, without its checks. */
static void begin_run(struct minion *m, struct json_object *o)
{
	const char *spec = str_of(o, "spec");
	int64_t work = figure(spec, "work_ms=");
	struct run *n = g_new0(struct run, 1);

	n->task = g_strdup(str_of(o, "task"));
	n->run = int_of(o, "run");
	n->cpu = figure(spec, "cpu=");
	n->end_at = work ? now_ms() + work : 0;
	m->used += n->cpu;
	g_ptr_array_add(m->runs, n);
	record("start minion=%s task=%s run=%lld token=%lld spec_bytes=%zu",
	       m->id, n->task, (long long)n->run,
	       (long long)int_of(o, W_FENCE), strlen(spec));
}

static void take_lease(struct minion *m, int64_t expires);

/*
 * A minion starts again under its id. It knows nothing of before, and carries
 * the kept start out first.
 */
static void *restart(void *arg)
{
	struct minion *m = arg;

	sleep_ms(crash_ms);
	g_mutex_lock(&m->lock);
	m->begun = now_ms();
	m->born = g_get_real_time() / 1000;
	m->fence = int_of(m->kept, W_FENCE);
	m->lease = 0;
	m->number = 0;
	m->sequence = 0;
	take_lease(m, int_of(m->kept, W_EXPIRES));
	record("minion=%s restarts", m->id);
	if (int_of(m->kept, W_EXPIRES) > clock_of(m))
		begin_run(m, m->kept);
	json_object_put(m->kept);
	m->kept = NULL;
	m->dark = false;
	g_mutex_unlock(&m->lock);
	return NULL;
}

/* Called with the lock. */
static void crash(struct minion *m, struct json_object *start)
{
	m->dark = true;
	m->kept = json_object_get(start);
	m->used = 0;
	g_ptr_array_set_size(m->runs, 0);
	g_array_set_size(m->ends, 0);
	g_hash_table_remove_all(m->highest);
	record("minion=%s crashes task=%s run=%lld", m->id,
	       str_of(start, "task"), (long long)int_of(start, "run"));
	g_thread_unref(g_thread_new("restart", restart, m));
}

void minions_crash(int64_t ms)
{
	crash_ms = ms;
}

static void *tick_loop(void *arg)
{
	struct minion *m = arg;
	guint i;

	for (;;) {
		sleep_ms(TICK_MS);
		g_mutex_lock(&m->lock);
		for (i = m->runs->len; i-- > 0;) {
			struct run *r = g_ptr_array_index(m->runs, i);

			if (r->stop_at && now_ms() >= r->stop_at)
				end_run(m, i, "stopped");
			else if (r->end_at && now_ms() >= r->end_at)
				end_run(m, i, "done");
			else if (clock_of(m) > m->lease)
				end_run(m, i, "lapsed");
		}
		g_mutex_unlock(&m->lock);
	}
	return NULL;
}

static struct json_object *capacity(const struct minion *m)
{
	struct json_object *o = json_object_new_object();

	add_int(o, "cpu", m->cpu);
	add_int(o, "memMb", 131072);
	add_int(o, "gpu", 0);
	return o;
}

static struct json_object *labels(void)
{
	struct json_object *list = json_object_new_array();

	json_object_array_add(list, json_object_new_string("a"));
	json_object_array_add(list, json_object_new_string("r1-1"));
	return list;
}

static void *beat_loop(void *arg)
{
	struct minion *m = arg;

	for (;;) {
		struct json_object *o = json_object_new_object();
		char address[32];

		if (m->dark) {
			/* Its entry goes after three intervals. */
			if (++m->silent == 3)
				store_remove("servers", m->id);
			json_object_put(o);
			sleep_ms(BEAT_MS);
			continue;
		}
		m->silent = 0;
		snprintf(address, sizeof(address), "127.0.0.1:%d", m->port);
		add_str(o, "service", m->service);
		add_str(o, "address", address);
		add_str(o, "zone", m->zone);
		add_str(o, "version", "v1");
		add_int(o, "slots", 8);
		add_str(o, "state", "ready");
		add_int(o, "coldRemainingMs", 0);
		json_object_object_add(o, "capacity", capacity(m));
		json_object_object_add(o, "labels", labels());
		add_str(o, "machine", m->machine);
		add_int(o, "born", m->born);
		add_int(o, "clockMs", clock_of(m));
		add_int(o, "sequence", ++m->sequence);
		store_put("servers", m->id,
			  json_object_to_json_string_ext(
				  o, JSON_C_TO_STRING_PLAIN));
		json_object_put(o);
		sleep_ms(BEAT_MS);
	}
	return NULL;
}

void minions_list(struct json_object *list)
{
	guint i;

	for (i = 0; i < minions->len; i++) {
		struct minion *m = g_ptr_array_index(minions, i);
		struct json_object *o = json_object_new_object();

		add_str(o, "machine", m->machine);
		add_str(o, "pool", m->service);
		add_str(o, "state", m->dark ? "down" : "up");
		add_str(o, "zone", m->zone);
		json_object_object_add(o, "labels", labels());
		json_object_object_add(o, "capacity", capacity(m));
		add_str(o, "id", m->dark ? "" : m->id);
		json_object_array_add(list, o);
	}
}

static enum MHD_Result refuse(struct minion *m, struct request *r,
			      const char *reason)
{
	struct json_object *o = json_object_new_object();

	add_int(o, "clockMs", clock_of(m));
	add_str(o, "reason", reason);
	g_mutex_unlock(&m->lock);
	return reply_json(r, 409, o);
}

static void take_lease(struct minion *m, int64_t expires)
{
	int64_t longest = clock_of(m) + MAX_HOLD_MS;

	if (expires > longest)
		expires = longest;
	if (expires > m->lease)
		m->lease = expires;
}

static struct run *find_run(struct minion *m, const char *task, int64_t run,
			    guint *at)
{
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		struct run *r = g_ptr_array_index(m->runs, i);

		if (r->run == run && !strcmp(r->task, task)) {
			*at = i;
			return r;
		}
	}
	return NULL;
}

/* A number that the text has after "NAME=". */
static int64_t figure(const char *text, const char *name)
{
	const char *at = strstr(text, name);

	return at ? strtoll(at + strlen(name), NULL, 10) : 0;
}

static enum MHD_Result on_start(struct minion *m, struct request *r,
				struct json_object *o)
{
	const char *task = str_of(o, "task");
	const char *spec = str_of(o, "spec");
	int64_t run = int_of(o, "run");
	int64_t *seen;
	int64_t cpu = figure(spec, "cpu=");
	struct json_object *a;
	guint at;

	seen = g_hash_table_lookup(m->highest, task);
	take_lease(m, int_of(o, W_EXPIRES));
	if (!find_run(m, task, run, &at)) {
		if (seen && run <= *seen)
			return refuse(m, r, "old");
		if (int_of(o, W_EXPIRES) <= clock_of(m))
			return refuse(m, r, "late");
		if (m->used + cpu > m->cpu)
			return refuse(m, r, "room");
		begin_run(m, o);
	}
	a = json_object_new_object();
	add_int(a, "clockMs", clock_of(m));
	g_mutex_unlock(&m->lock);
	return reply_json(r, 200, a);
}

static enum MHD_Result on_stop(struct minion *m, struct request *r,
			       struct json_object *o)
{
	struct json_object *a = json_object_new_object();
	const char *task = str_of(o, "task");
	guint at;
	struct run *n = find_run(m, task, int_of(o, "run"), &at);

	if (n && !n->stop_at)
		n->stop_at = now_ms() + STOP_MS;
	if (!n)
		note_highest(m, task, int_of(o, "run"));
	record("stop minion=%s task=%s run=%lld", m->id, task,
	       (long long)int_of(o, "run"));
	add_int(a, "clockMs", clock_of(m));
	g_mutex_unlock(&m->lock);
	return reply_json(r, 200, a);
}

static struct json_object *run_row(const struct run *r)
{
	struct json_object *list = json_object_new_array();

	json_object_array_add(list, json_object_new_string(r->task));
	json_object_array_add(list, json_object_new_int64(r->run));
	json_object_array_add(list, json_object_new_string(""));
	json_object_array_add(list,
			      json_object_new_int64(r->end_at ? 50 : 100));
	json_object_array_add(list, json_object_new_int64(r->cpu));
	return list;
}

static struct json_object *end_row(const struct end *e)
{
	struct json_object *list = json_object_new_array();

	json_object_array_add(list, json_object_new_int64(e->number));
	json_object_array_add(list, json_object_new_string(e->task));
	json_object_array_add(list, json_object_new_int64(e->run));
	json_object_array_add(list, json_object_new_string(e->how));
	json_object_array_add(list, json_object_new_string(""));
	return list;
}

static enum MHD_Result on_hold(struct minion *m, struct request *r,
			       struct json_object *o)
{
	int64_t ack = int_of(o, W_ACK);
	int64_t end = g_get_monotonic_time() + int_of(o, W_WAIT) * 1000;
	struct json_object *running;
	struct json_object *finished;
	struct json_object *a;
	guint i;

	if (int_of(o, W_EXPIRES))
		take_lease(m, int_of(o, W_EXPIRES));
	while (m->ends->len &&
	       g_array_index(m->ends, struct end, 0).number <= ack) {
		record("noted minion=%s task=%s run=%lld how=%s", m->id,
		       g_array_index(m->ends, struct end, 0).task,
		       (long long)g_array_index(m->ends, struct end, 0).run,
		       g_array_index(m->ends, struct end, 0).how);
		g_array_remove_index(m->ends, 0);
	}
	while (!m->ends->len && int_of(o, W_WAIT) && !m->dark &&
	       g_cond_wait_until(&m->ended, &m->lock, end))
		;
	if (m->dark) {
		g_mutex_unlock(&m->lock);
		sleep_ms(60000);
		return MHD_NO;
	}
	a = json_object_new_object();
	running = json_object_new_array();
	finished = json_object_new_array();
	for (i = 0; i < m->runs->len; i++)
		json_object_array_add(running,
				      run_row(g_ptr_array_index(m->runs, i)));
	for (i = 0; i < m->ends->len && i < ENDS_MAX; i++)
		json_object_array_add(
			finished, end_row(&g_array_index(m->ends, struct end,
							 i)));
	add_int(a, "clockMs", clock_of(m));
	add_int(a, "born", m->born);
	json_object_object_add(a, "running", running);
	json_object_object_add(a, "finished", finished);
	g_mutex_unlock(&m->lock);
	return reply_json(r, 200, a);
}

static enum MHD_Result on_order(struct minion *m, struct request *r,
				struct json_object *o)
{
	int64_t fence = int_of(o, W_FENCE);
	const char *expect = header(r, W_EXPECT);

	if (expect && strcmp(expect, m->id))
		return reply(r, 421, "{}");
	g_mutex_lock(&m->lock);
	if (!strcmp(r->path, W_START) && crash_ms && !crashed) {
		crashed = true;
		crash(m, o);
	}
	if (m->dark) {
		g_mutex_unlock(&m->lock);
		sleep_ms(60000);
		return MHD_NO;
	}
	if (fence < m->fence)
		return refuse(m, r, "fence");
	m->fence = fence;
	if (!strcmp(r->path, W_START))
		return on_start(m, r, o);
	if (!strcmp(r->path, W_STOP))
		return on_stop(m, r, o);
	if (!strcmp(r->path, W_HOLD))
		return on_hold(m, r, o);
	g_mutex_unlock(&m->lock);
	return reply(r, 404, "{}");
}

static enum MHD_Result on_request(void *arg, struct request *r)
{
	struct json_object *o;
	enum MHD_Result rc;

	if (!strcmp(r->path, "/healthz"))
		return reply(r, 200, "{}");
	o = json_tokener_parse(r->body->str);
	rc = o ? on_order(arg, r, o) : reply(r, 400, "{}");
	json_object_put(o);
	return rc;
}

void minion_add(const char *spec)
{
	gchar **part = g_strsplit(spec, ":", 5);
	struct minion *m = g_new0(struct minion, 1);

	m->id = g_strdup(part[0]);
	m->port = atoi(part[1]);
	m->service = g_strdup(part[2]);
	m->zone = g_strdup(part[3]);
	m->cpu = atoi(part[4]);
	m->machine = g_strconcat("m-", m->id, NULL);
	m->begun = now_ms();
	m->born = g_get_real_time() / 1000;
	m->runs = g_ptr_array_new();
	m->ends = g_array_new(FALSE, FALSE, sizeof(struct end));
	m->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   g_free);
	g_mutex_init(&m->lock);
	g_cond_init(&m->ended);
	if (!minions)
		minions = g_ptr_array_new();
	g_ptr_array_add(minions, m);
	serve(m->port, on_request, m);
	g_thread_unref(g_thread_new("tick", tick_loop, m));
	g_thread_unref(g_thread_new("beat", beat_loop, m));
	g_strfreev(part);
}
