#include "fake/worker_impl.h"

#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "base/log.h"

/* Promise P5: no start in a data centre later than this after it is out. */
#define DC_OUT_START_MAX (5 * SEAM_SEC)
#define FAIL_DELAY (100 * SEAM_MSEC)
#define CHECKPOINT_TIME (300 * SEAM_MSEC)
#define ENDED_LISTED_FOR (60 * SEAM_SEC) /* listings include an ended task */

static void worker_free(void *p)
{
	struct worker *w = p;

	g_hash_table_destroy(w->attempts);
	free(w);
}

struct seam_fake_workers *seam_fake_workers_new(struct seam_clock *k,
						uint64_t seed)
{
	struct seam_fake_workers *f = calloc(1, sizeof(*f));

	f->clock = k;
	f->seed = seed ? seed : 1;
	pthread_mutex_init(&f->lock, NULL);
	f->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   worker_free);
	f->starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->dc_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return f;
}

void seam_fake_workers_free(struct seam_fake_workers *f)
{
	g_hash_table_destroy(f->workers);
	g_hash_table_destroy(f->starts);
	g_hash_table_destroy(f->dc_out);
	pthread_mutex_destroy(&f->lock);
	free(f);
}

void seam_fake_workers_add(struct seam_fake_workers *f,
			   const struct seam_vm *vm)
{
	struct worker *w = calloc(1, sizeof(*w));

	w->vm = *vm;
	w->attempts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	pthread_mutex_lock(&f->lock);
	g_hash_table_replace(f->workers, w->vm.id, w);
	pthread_mutex_unlock(&f->lock);
}

void seam_fake_workers_del(struct seam_fake_workers *f, const char *id)
{
	pthread_mutex_lock(&f->lock);
	g_hash_table_remove(f->workers, id);
	pthread_mutex_unlock(&f->lock);
}

void seam_fake_workers_set_faults(struct seam_fake_workers *f, const char *id,
				  const struct seam_fake_worker_faults *faults)
{
	struct worker *w;

	pthread_mutex_lock(&f->lock);
	w = g_hash_table_lookup(f->workers, id);
	if (w)
		w->faults = *faults;
	pthread_mutex_unlock(&f->lock);
}

void seam_fake_workers_set_dc_out(struct seam_fake_workers *f, const char *dc,
				  seam_time at)
{
	pthread_mutex_lock(&f->lock);
	if (at) {
		seam_time *t = g_new(seam_time, 1);

		*t = at;
		g_hash_table_replace(f->dc_out, g_strdup(dc), t);
	} else {
		g_hash_table_remove(f->dc_out, dc);
	}
	pthread_mutex_unlock(&f->lock);
}

int seam_fake_workers_starts(struct seam_fake_workers *f, const char *task)
{
	int n;

	pthread_mutex_lock(&f->lock);
	n = task ? GPOINTER_TO_INT(g_hash_table_lookup(f->starts, task)) :
		   f->total_starts;
	pthread_mutex_unlock(&f->lock);
	return n;
}

static int sum_running(struct worker *w, struct seam_need *sum)
{
	GHashTableIter it;
	gpointer v;
	int n = 0;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&it, w->attempts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct task_attempt *r = v;

		if (r->attempt_state != SEAM_ATTEMPT_RUNNING)
			continue;
		n++;
		sum->cpu += r->need.cpu;
		sum->mem += r->need.mem;
		sum->acc += r->need.acc;
	}
	return n;
}

int seam_fake_workers_running(struct seam_fake_workers *f)
{
	struct seam_need sum;
	GHashTableIter it;
	gpointer v;
	int n = 0;

	pthread_mutex_lock(&f->lock);
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += sum_running(v, &sum);
	pthread_mutex_unlock(&f->lock);
	return n;
}

static void check_leases(struct seam_fake_workers *f, struct worker *at,
			 const char *task, seam_time now)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct worker *w = v;
		struct task_attempt *r = g_hash_table_lookup(w->attempts, task);

		SEAM_INVARIANT(w == at || !r ||
				       r->attempt_state !=
					       SEAM_ATTEMPT_RUNNING ||
				       r->lease_until < now,
			       "fake", "task %s holds a lease on %s and %s",
			       task, w->vm.id, at->vm.id);
	}
}

static void check_start(struct seam_fake_workers *f, struct worker *w,
			struct task_attempt *r, seam_time now)
{
	seam_time *out_since = g_hash_table_lookup(f->dc_out, w->vm.dc);
	struct seam_need sum;
	int n = GPOINTER_TO_INT(g_hash_table_lookup(f->starts, r->task)) + 1;

	g_hash_table_replace(f->starts, g_strdup(r->task), GINT_TO_POINTER(n));
	f->total_starts++;
	SEAM_INVARIANT(!r->once || n == 1, "fake",
		       "task %s has effects %d times", r->task, n);
	SEAM_INVARIANT(!out_since || now <= *out_since + DC_OUT_START_MAX,
		       "fake", "task %s starts in data centre %s that is out",
		       r->task, w->vm.dc);
	check_leases(f, w, r->task, now);
	sum_running(w, &sum);
	SEAM_INVARIANT(sum.cpu <= w->vm.cpu_milli && sum.mem <= w->vm.memory_mb,
		       "fake", "worker %s has %lld of %lld reserved", w->vm.id,
		       (long long)sum.cpu, (long long)w->vm.cpu_milli);
}

static struct task_attempt *attempt_new(struct worker *w,
					const struct seam_worker_cmd *c)
{
	struct task_attempt *r = calloc(1, sizeof(*r));

	g_strlcpy(r->task, c->task, sizeof(r->task));
	r->attempt = c->attempt;
	r->token = c->token;
	r->attempt_state = SEAM_ATTEMPT_NOT_STARTED;
	g_hash_table_replace(w->attempts, r->task, r);
	return r;
}

static void start_attempt(struct seam_fake_workers *f, struct worker *w,
			  struct task_attempt *r,
			  const struct seam_worker_cmd *c, seam_time now)
{
	struct json_object *o =
		c->payload ? json_tokener_parse(c->payload) : NULL;
	bool fail = json_object_get_boolean(json_object_object_get(o, "fail"));

	r->attempt_state = SEAM_ATTEMPT_RUNNING;
	r->need = c->need;
	r->lease_until = c->lease_until;
	r->once = json_object_get_boolean(json_object_object_get(o, "once"));
	r->ignores_throttle =
		json_object_get_boolean(json_object_object_get(o, "deaf"));
	r->usage.cpu = seam_json_int(o, "cpu", c->need.cpu);
	r->usage.mem = seam_json_int(o, "mem", c->need.mem);
	r->end_at = now + seam_json_int(o, "run_ms", 1000) * SEAM_MSEC;
	r->will_fail =
		fail || w->faults.fail_all ||
		(*w->faults.fail_kind && !strcmp(w->faults.fail_kind, c->kind));
	if (r->will_fail)
		r->end_at = now + FAIL_DELAY;
	json_object_put(o);
	check_start(f, w, r, now);
}

static void on_start(struct seam_fake_workers *f, struct worker *w,
		     struct task_attempt **r, const struct seam_worker_cmd *c,
		     seam_time now)
{
	if (*r && (*r)->attempt >= c->attempt)
		return;
	*r = attempt_new(w, c);
	if (now > c->start_by)
		g_strlcpy((*r)->reason, "after start_by", 96);
	else if (c->boot != w->vm.boot)
		g_strlcpy((*r)->reason, "rebooted since", 96);
	else
		start_attempt(f, w, *r, c, now);
}

static void on_stop(struct worker *w, struct task_attempt **r,
		    const struct seam_worker_cmd *c, seam_time now)
{
	if (!*r || (*r)->attempt < c->attempt)
		*r = attempt_new(w, c);
	else if ((*r)->attempt_state == SEAM_ATTEMPT_RUNNING && !(*r)->stop_at)
		(*r)->stop_at = now + CHECKPOINT_TIME;
}

static void fill_report(struct seam_fake_workers *f, struct worker *w,
			const struct task_attempt *r, uint64_t token,
			struct seam_worker_report *out)
{
	memset(out, 0, sizeof(*out));
	out->attempt_state = r->attempt_state;
	out->attempt = r->attempt;
	out->token = token;
	out->boot = w->vm.boot;
	out->usage = r->usage;
	out->usage_at = seam_now(f->clock) - w->faults.usage_lag;
	memcpy(out->worker, w->vm.id, sizeof(out->worker));
	memcpy(out->task, r->task, sizeof(out->task));
	memcpy(out->reason, r->reason, sizeof(out->reason));
}

static void exec_cmd(struct seam_fake_workers *f, struct worker *w,
		     const struct seam_worker_cmd *c,
		     struct seam_worker_report *out, seam_time now)
{
	struct task_attempt *r = g_hash_table_lookup(w->attempts, c->task);
	struct task_attempt none = {.attempt_state = SEAM_ATTEMPT_ABSENT,
				    .attempt = c->attempt};

	if (r && (c->token < r->token || c->attempt < r->attempt)) {
		fill_report(f, w, r, c->token, out);
		out->attempt = c->attempt;
		out->attempt_state = SEAM_ATTEMPT_FENCED;
		return;
	}
	if (r)
		r->token = c->token;
	if (c->cmd_type == SEAM_CMD_START)
		on_start(f, w, &r, c, now);
	else if (c->cmd_type == SEAM_CMD_STOP ||
		 c->cmd_type == SEAM_CMD_CHECKPOINT)
		on_stop(w, &r, c, now);
	else if (r && r->attempt == c->attempt && c->cmd_type == SEAM_CMD_RENEW)
		r->lease_until = MAX(r->lease_until, c->lease_until);
	else if (r && c->cmd_type == SEAM_CMD_THROTTLE && !r->ignores_throttle)
		r->usage = c->need;
	if (!r || r->attempt < c->attempt) {
		g_strlcpy(none.task, c->task, sizeof(none.task));
		r = &none;
	}
	fill_report(f, w, r, c->token, out);
}

int seam_fake_worker_exec(struct seam_fake_workers *f, const char *id,
			  const struct seam_worker_cmd *c,
			  struct seam_worker_report *out)
{
	seam_time now = seam_now(f->clock);
	struct worker *w;
	int rc = -1;

	seam_fake_workers_tick(f, now);
	pthread_mutex_lock(&f->lock);
	w = g_hash_table_lookup(f->workers, id);
	if (w && !w->faults.paused) {
		exec_cmd(f, w, c, out, now);
		f->seed = f->seed * 6364136223846793005ull +
			  1442695040888963407ull;
		rc = (int)(f->seed >> 33) % 1000 < w->faults.lose_answers ? -1 :
									    0;
	}
	pthread_mutex_unlock(&f->lock);
	return rc;
}

static void end_attempt(struct task_attempt *r, int attempt_state,
			const char *why, seam_time now)
{
	r->attempt_state = attempt_state;
	r->ended_at = now;
	g_strlcpy(r->reason, why, sizeof(r->reason));
}

static void tick_worker(struct worker *w, seam_time now)
{
	GHashTableIter it;
	gpointer v;

	if (w->faults.paused)
		return;
	g_hash_table_iter_init(&it, w->attempts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct task_attempt *r = v;

		if (r->attempt_state != SEAM_ATTEMPT_RUNNING)
			continue;
		if (r->lease_until < now)
			end_attempt(r, SEAM_ATTEMPT_STOPPED, "lease expired",
				    now);
		else if (r->stop_at && r->stop_at <= now)
			end_attempt(r, SEAM_ATTEMPT_STOPPED, "on command", now);
		else if (r->end_at <= now)
			end_attempt(r,
				    r->will_fail ? SEAM_ATTEMPT_FAILED :
						   SEAM_ATTEMPT_DONE,
				    r->will_fail ? "exit code 1" : "", now);
	}
}

void seam_fake_workers_tick(struct seam_fake_workers *f, seam_time now)
{
	GHashTableIter it;
	gpointer v;

	pthread_mutex_lock(&f->lock);
	g_hash_table_iter_init(&it, f->workers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		tick_worker(v, now);
	pthread_mutex_unlock(&f->lock);
}

bool seam_fake_worker_lacks_renew_all(struct seam_fake_workers *f,
				      const char *id)
{
	struct worker *w;
	bool lacks;

	pthread_mutex_lock(&f->lock);
	w = g_hash_table_lookup(f->workers, id);
	lacks = w && w->faults.no_renew_all;
	pthread_mutex_unlock(&f->lock);
	return lacks;
}

void seam_fake_worker_list(struct seam_fake_workers *f, const char *id,
			   GArray *out)
{
	seam_time now = seam_now(f->clock);
	struct seam_worker_report r;
	struct worker *w;
	GHashTableIter it;
	gpointer v;

	pthread_mutex_lock(&f->lock);
	w = g_hash_table_lookup(f->workers, id);
	if (w && !w->faults.paused && !w->faults.no_listing) {
		g_hash_table_iter_init(&it, w->attempts);
		while (g_hash_table_iter_next(&it, NULL, &v)) {
			struct task_attempt *e = v;

			if (e->ended_at && now - e->ended_at > ENDED_LISTED_FOR)
				continue;
			fill_report(f, w, e, 0, &r);
			g_array_append_val(out, r);
		}
	}
	pthread_mutex_unlock(&f->lock);
}
