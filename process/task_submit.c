#include "process/task_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/metrics.h"

SEAM_METRIC(accepted, "seam_tasks_accepted_total", "Tasks accepted.");
SEAM_METRIC(full, "seam_tasks_refused_full_total",
	    "Tasks refused because their bucket is full.");

static bool make_space(struct seam_bucket *b)
{
	struct seam_handle oldest = SEAM_HANDLE_NONE;
	struct seam_handle h = SEAM_HANDLE_NONE;
	seam_time at = SEAM_NEVER;
	struct seam_task *t;

	if (seam_table_count(b->table) < SEAM_BUCKET_TASKS_MAX)
		return true;
	while ((t = seam_task_next(b->table, &h)))
		if (seam_task_ended(t) && t->ended_at < at) {
			at = t->ended_at;
			oldest = h;
		}
	if (at == SEAM_NEVER)
		return false;
	seam_bucket_remove_task(b, oldest);
	return true;
}

static int add_task(struct seam_bucket *b, const struct seam_task *from,
		    struct seam_err *e)
{
	struct seam_task *t = seam_bucket_find(b, from->id);
	struct seam_handle h;

	if (t && strcmp(t->request, from->request))
		return seam_fail(e, SEAM_CONFLICT,
				 "the key was used for another task");
	if (t)
		return 0;
	if (!make_space(b)) {
		seam_metric_add(&full, 1);
		return seam_fail(e, SEAM_BUSY,
				 "bucket %s holds %d tasks that have not ended",
				 b->key, SEAM_BUCKET_TASKS_MAX);
	}
	t = seam_task_add(b->table, &h);
	if (!t)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	*t = *from;
	t->payload = from->payload ? strdup(from->payload) : NULL;
	b->dirty = true;
	return 0;
}

static int cancel_task(struct seam_bucket *b, const char *id, seam_time now,
		       struct seam_err *e)
{
	struct seam_task *t = seam_bucket_find(b, id);

	if (!t)
		return seam_fail(e, SEAM_NOT_FOUND, "no task %s%s", b->prefix,
				 id);
	if (t->state == SEAM_TASK_QUEUED) {
		seam_task_end(b, t, SEAM_TASK_CANCELLED, now, "cancelled");
	} else if (seam_task_active(t) && t->stop != SEAM_STOP_CANCEL) {
		t->state = SEAM_TASK_STOPPING;
		t->stop = SEAM_STOP_CANCEL;
		t->next_command_at = 0;
		b->dirty = true;
	}
	return 0;
}

static int apply_request(struct seam_bucket *b, struct seam_task_request *r,
			 seam_time now, struct seam_err *e)
{
	if (r->cancel)
		return cancel_task(b, r->task.id, now, e);
	return add_task(b, &r->task, e);
}

static struct seam_task_request *unlink_request(struct seam_bucket *b,
						struct seam_task_request **at)
{
	struct seam_task_request *r = *at;

	*at = r->next;
	if (!r->next)
		b->inbox_end = at;
	return r;
}

/* A burst of requests is applied over several passes. */
void seam_bucket_apply_requests(struct seam_bucket *b, seam_time now)
{
	struct seam_task_request **at = &b->inbox;
	bool answered = false;
	int n = 0;

	pthread_mutex_lock(&b->ts->lock);
	while (*at && n++ < SEAM_TASK_REQUESTS_PER_PASS) {
		struct seam_task_request *r = *at;

		if (!r->applied && apply_request(b, r, now, &r->err)) {
			unlink_request(b, at)->done = true;
			answered = true;
			continue;
		}
		r->applied = true;
		at = &r->next;
	}
	if (answered)
		pthread_cond_broadcast(&b->ts->answered);
	pthread_mutex_unlock(&b->ts->lock);
}

void seam_bucket_complete_requests(struct seam_bucket *b, bool committed)
{
	struct seam_task_request **at = &b->inbox;

	pthread_mutex_lock(&b->ts->lock);
	while (*at) {
		struct seam_task_request *r = *at;

		if (committed && r->applied) {
			unlink_request(b, at)->done = true;
			if (!r->cancel)
				seam_metric_add(&accepted, 1);
			continue;
		}
		r->applied = false;
		at = &r->next;
	}
	pthread_cond_broadcast(&b->ts->answered);
	pthread_mutex_unlock(&b->ts->lock);
}

void seam_task_request_add(struct seam_bucket *b, struct seam_task_request *r)
{
	pthread_mutex_lock(&b->ts->lock);
	r->next = NULL;
	*b->inbox_end = r;
	b->inbox_end = &r->next;
	pthread_mutex_unlock(&b->ts->lock);
	if (b->ts->wake)
		b->ts->wake(b->ts->wake_arg);
}

static int withdraw(struct seam_bucket *b, struct seam_task_request *r,
		    struct seam_err *e)
{
	struct seam_task_request **at = &b->inbox;

	while (*at && *at != r)
		at = &(*at)->next;
	if (*at)
		unlink_request(b, at);
	/* If it was applied, a commit that includes it may be in progress. */
	return seam_fail(e, r->applied ? SEAM_COMMIT_UNKNOWN : SEAM_UNAVAILABLE,
			 "no commit of %s in time", b->key);
}

static int submit_to_owner(struct seam_bucket *b, struct seam_task_request *r,
			   seam_time deadline, struct seam_err *e)
{
	struct seam_tasks *ts = b->ts;
	int rc = 0;

	seam_task_request_add(b, r);
	pthread_mutex_lock(&ts->lock);
	while (!r->done && seam_now(ts->c.clock) < deadline)
		seam_wait(ts->c.clock, &ts->answered, &ts->lock, deadline);
	if (!r->done)
		rc = withdraw(b, r, e);
	else if (r->err.kind != SEAM_OK) {
		*e = r->err;
		rc = -1;
	}
	pthread_mutex_unlock(&ts->lock);
	return rc;
}

int seam_bucket_fetch(struct seam_bucket *b, seam_time deadline,
		      struct seam_err *e)
{
	struct seam_row row = {.data = NULL};
	int rc;

	if (seam_store_get(b->ts->c.store, b->key, &row, deadline, e)) {
		if (e->kind != SEAM_NOT_FOUND)
			return -1;
		seam_err_clear(e);
		b->version = SEAM_ABSENT;
		return 0;
	}
	b->version = row.version;
	rc = seam_bucket_parse(b, row.data, e);
	seam_row_free(&row);
	return rc;
}

/*
 * The commit adds a mark for changes that cannot wait until the owner next
 * reads the row: urgent tasks, and a bucket that no owner has loaded yet.
 */
static int write_bucket(struct seam_bucket *b, bool urgent, seam_time deadline,
			struct seam_err *e)
{
	char *text = seam_bucket_serialize(b);
	char mark[SEAM_KEY_MAX];
	struct seam_write w[] = {
		{SEAM_PUT, b->key, b->version, text, strlen(text)},
		{SEAM_PUT, mark, SEAM_ANY_VERSION, "", 0}};
	bool marked = urgent || b->version == SEAM_ABSENT;
	struct seam_commit c = {.write = w, .n = marked ? 2 : 1};
	int rc;

	seam_bucket_mark_key(b, mark);
	rc = seam_store_commit_retry(b->ts->c.store, b->ts->c.clock, &c,
				     deadline, e);
	free(text);
	return rc;
}

/* Ending an active task changes more rows, so only the owner does that. */
static int submit_by_cas(struct seam_tasks *ts, const char *key,
			 struct seam_task_request *r, seam_time deadline,
			 struct seam_err *e)
{
	struct seam_bucket *b = seam_bucket_new(ts, key);
	bool urgent = !r->cancel && r->task.urgent;
	int rc = -1;

	if (!b)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	do {
		seam_err_clear(e);
		seam_bucket_clear(b);
		b->dirty = false;
		rc = seam_bucket_fetch(b, deadline, e);
		if (!rc)
			rc = apply_request(b, r, seam_now(ts->c.clock), e);
		if (rc)
			break;
		rc = b->dirty ? write_bucket(b, urgent, deadline, e) : 0;
	} while (rc && e->kind == SEAM_CONFLICT &&
		 seam_now(ts->c.clock) < deadline);
	if (rc && e->kind == SEAM_CONFLICT && b->dirty)
		seam_fail(e, SEAM_UNAVAILABLE, "no commit of %s in time", key);
	/* A commit whose outcome is unknown may have applied. */
	if (b->dirty && (!rc || e->kind == SEAM_COMMIT_UNKNOWN))
		seam_tasks_queue_hint(ts, key, urgent);
	if (!rc && !r->cancel && b->dirty)
		seam_metric_add(&accepted, 1);
	seam_bucket_free(b);
	return rc;
}

static int submit_request(struct seam_tasks *ts, const char *id,
			  struct seam_task_request *r, seam_time deadline,
			  struct seam_err *e)
{
	char key[SEAM_KEY_MAX];

	if (seam_bucket_key(id, key))
		return seam_fail(e, SEAM_NOT_FOUND, "no task %s", id);
	if (ts->running &&
	    seam_is_owner(ts->c.owner, key, seam_now(ts->c.clock)))
		return submit_to_owner(seam_bucket_get(ts, key), r, deadline,
				       e);
	return submit_by_cas(ts, key, r, deadline, e);
}

static uint64_t hash(const char *a, const char *b, const char *c, uint64_t seed)
{
	seed = XXH3_64bits_withSeed(a, strlen(a) + 1, seed);
	seed = XXH3_64bits_withSeed(b, strlen(b) + 1, seed);
	return XXH3_64bits_withSeed(c, strlen(c) + 1, seed);
}

static uint64_t request_hash(const struct seam_task_spec *a)
{
	char rest[256];

	snprintf(rest, sizeof(rest), "%lld/%lld/%lld/%d/%s",
		 (long long)a->need.cpu, (long long)a->need.mem,
		 (long long)a->need.acc, a->urgent, a->group);
	return hash(a->kind, a->payload ? a->payload : "", rest, 0);
}

static void fill_task(struct seam_task *t, const struct seam_task_spec *a,
		      uint64_t id, seam_time now)
{
	snprintf(t->id, sizeof(t->id), "%016llx", (unsigned long long)id);
	g_strlcpy(t->kind, a->kind, sizeof(t->kind));
	g_strlcpy(t->group, a->group, sizeof(t->group));
	snprintf(t->request, sizeof(t->request), "%016llx",
		 (unsigned long long)request_hash(a));
	t->payload = (char *)a->payload;
	t->declared = a->need;
	t->urgent = a->urgent;
	t->idempotent = a->idempotent;
	t->finish_by = a->finish_by;
	t->submitted = now;
}

int seam_tasks_submit(struct seam_tasks *ts, const struct seam_task_spec *a,
		      char id[SEAM_TASK_ID_SIZE], seam_time deadline,
		      struct seam_err *e)
{
	struct seam_task_request r = {.next = NULL};
	uint64_t nr = a->idem_key ?
			      hash(a->team, a->queue->name, a->idem_key, 1) :
			      seam_store_token();

	fill_task(&r.task, a, nr, seam_now(ts->c.clock));
	snprintf(id, SEAM_TASK_ID_SIZE, "%s~%s~%d~%s", a->team, a->queue->name,
		 (int)(nr % SEAM_BUCKETS), r.task.id);
	return submit_request(ts, id, &r, deadline, e);
}

int seam_tasks_cancel(struct seam_tasks *ts, const char *id, seam_time deadline,
		      struct seam_err *e)
{
	struct seam_task_request r = {.cancel = true};
	const char *last = strrchr(id, '~');

	g_strlcpy(r.task.id, last ? last + 1 : "", sizeof(r.task.id));
	return submit_request(ts, id, &r, deadline, e);
}

struct json_object *seam_tasks_get(struct seam_tasks *ts, const char *id,
				   seam_time deadline, struct seam_err *e)
{
	struct json_object *o = NULL;
	const char *last = strrchr(id, '~');
	char key[SEAM_KEY_MAX];
	struct seam_bucket *b;
	struct seam_task *t;

	if (!last || seam_bucket_key(id, key)) {
		seam_fail(e, SEAM_NOT_FOUND, "no task %s", id);
		return NULL;
	}
	b = seam_bucket_new(ts, key);
	if (b && !seam_bucket_fetch(b, deadline, e)) {
		t = seam_bucket_find(b, last + 1);
		if (t) {
			o = seam_task_json(t, false);
			json_object_object_add(o, "id",
					       json_object_new_string(id));
		} else {
			seam_fail(e, SEAM_NOT_FOUND, "no task %s", id);
		}
	}
	if (b)
		seam_bucket_free(b);
	return o;
}
