#include "process/task_impl.h"

#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {"queued",  "running",	   "stopping",
					  "done",    "failed",	   "cancelled",
					  "unknown", "never_runs", NULL};
static const char *const stop_names[] = {"",	    "cancel", "preempt",
					 "overuse", "dc_out", NULL};

/* SEAM_FAIL_TASK has no name, as in rows written by older versions. */
static const char *const fail_cause_names[] = {"", "lost", "crash", NULL};

static int index_of(const char *const *names, const char *name)
{
	int i;

	for (i = 0; names[i]; i++)
		if (!strcmp(names[i], name))
			return i;
	return -1;
}

const char *seam_task_state_name(int state)
{
	return state_names[state];
}

int seam_task_state_by_name(const char *name)
{
	return index_of(state_names, name);
}

static void put_str(struct json_object *o, const char *name, const char *v)
{
	if (*v)
		json_object_object_add(o, name, json_object_new_string(v));
}

static void put_int(struct json_object *o, const char *name, int64_t v)
{
	if (v)
		json_object_object_add(o, name, json_object_new_int64(v));
}

static void put_bool(struct json_object *o, const char *name, bool v)
{
	if (v)
		json_object_object_add(o, name, json_object_new_boolean(v));
}

static void get_str(struct json_object *o, const char *name, char *out,
		    size_t size)
{
	g_strlcpy(out, seam_json_str(o, name, ""), size);
}

static bool get_bool(struct json_object *o, const char *name)
{
	return json_object_get_boolean(json_object_object_get(o, name));
}

struct json_object *seam_need_json(const struct seam_need *n)
{
	struct json_object *o = json_object_new_object();

	put_int(o, "cpu_milli", n->cpu);
	put_int(o, "memory_mb", n->mem);
	put_int(o, "accelerators", n->acc);
	return o;
}

struct seam_need seam_need_parse(struct json_object *o)
{
	struct seam_need n = {0, 0, 0};

	if (!o)
		return n;
	n.cpu = seam_json_int(o, "cpu_milli", 0);
	n.mem = seam_json_int(o, "memory_mb", 0);
	n.acc = seam_json_int(o, "accelerators", 0);
	return n;
}

static struct json_object *fails_json(const struct seam_task *t)
{
	struct json_object *a = json_object_new_array();
	int i;

	for (i = 0; i < t->fails; i++) {
		struct json_object *o = json_object_new_object();

		put_str(o, "worker", t->fail[i].worker);
		put_str(o, "rack", t->fail[i].rack);
		put_int(o, "at", t->fail[i].at);
		put_str(o, "what", fail_cause_names[t->fail[i].what]);
		json_object_array_add(a, o);
	}
	return a;
}

static void fails_read(struct json_object *a, struct seam_task *t)
{
	size_t n = a ? json_object_array_length(a) : 0;
	size_t i;

	for (i = 0; i < n && i < SEAM_TASK_FAILS_MAX; i++) {
		struct json_object *o = json_object_array_get_idx(a, i);

		get_str(o, "worker", t->fail[i].worker, 64);
		get_str(o, "rack", t->fail[i].rack, 64);
		t->fail[i].at = seam_json_int(o, "at", 0);
		t->fail[i].what =
			MAX(0, index_of(fail_cause_names,
					seam_json_str(o, "what", "")));
	}
	t->fails = (int)i;
}

static void put_times(struct json_object *o, const struct seam_task *t)
{
	put_int(o, "lease_until", t->lease_until);
	put_int(o, "start_by", t->start_by);
	if (t->finish_by != SEAM_NEVER)
		put_int(o, "finish_by", t->finish_by);
	put_int(o, "submitted", t->submitted);
	put_int(o, "started_at", t->started_at);
	put_int(o, "ended_at", t->ended_at);
}

struct json_object *seam_task_json(const struct seam_task *t, bool row)
{
	struct json_object *o = json_object_new_object();

	put_str(o, "id", t->id);
	put_str(o, "state", state_names[t->state]);
	put_str(o, "stop", stop_names[t->stop]);
	put_str(o, "kind", t->kind);
	put_str(o, "group", t->group);
	put_int(o, "attempt", t->attempt);
	put_str(o, "worker", t->worker);
	put_times(o, t);
	json_object_object_add(o, "declared", seam_need_json(&t->declared));
	if (t->reserved.cpu || t->reserved.mem || t->reserved.acc)
		json_object_object_add(o, "reserved",
				       seam_need_json(&t->reserved));
	put_bool(o, "urgent", t->urgent);
	put_bool(o, "idempotent", t->idempotent);
	if (t->fails)
		json_object_object_add(o, "fails", fails_json(t));
	put_str(o, "reason", t->reason);
	if (!row)
		return o;
	put_int(o, "boot", t->boot);
	put_str(o, "request", t->request);
	if (t->seen.cpu || t->seen.mem)
		json_object_object_add(o, "seen", seam_need_json(&t->seen));
	if (t->payload)
		put_str(o, "payload", t->payload);
	return o;
}

static void read_times(struct json_object *o, struct seam_task *t)
{
	t->lease_until = seam_json_int(o, "lease_until", 0);
	t->start_by = seam_json_int(o, "start_by", 0);
	t->finish_by = seam_json_int(o, "finish_by", SEAM_NEVER);
	t->submitted = seam_json_int(o, "submitted", 0);
	t->started_at = seam_json_int(o, "started_at", 0);
	t->ended_at = seam_json_int(o, "ended_at", 0);
}

int seam_task_parse(struct json_object *o, struct seam_task *t)
{
	const char *payload = seam_json_str(o, "payload", NULL);

	t->state = index_of(state_names, seam_json_str(o, "state", ""));
	t->stop = index_of(stop_names, seam_json_str(o, "stop", ""));
	if (t->state < 0 || t->stop < 0)
		return -1;
	get_str(o, "id", t->id, sizeof(t->id));
	get_str(o, "kind", t->kind, sizeof(t->kind));
	get_str(o, "group", t->group, sizeof(t->group));
	get_str(o, "request", t->request, sizeof(t->request));
	get_str(o, "worker", t->worker, sizeof(t->worker));
	get_str(o, "reason", t->reason, sizeof(t->reason));
	t->attempt = seam_json_int(o, "attempt", 0);
	t->boot = seam_json_int(o, "boot", 0);
	read_times(o, t);
	t->declared = seam_need_parse(json_object_object_get(o, "declared"));
	t->reserved = seam_need_parse(json_object_object_get(o, "reserved"));
	t->seen = seam_need_parse(json_object_object_get(o, "seen"));
	t->urgent = get_bool(o, "urgent");
	t->idempotent = get_bool(o, "idempotent");
	fails_read(json_object_object_get(o, "fails"), t);
	t->payload = payload ? strdup(payload) : NULL;
	return *t->id ? 0 : -1;
}

char *seam_bucket_serialize(const struct seam_bucket *b)
{
	struct json_object *o = json_object_new_object();
	struct json_object *a = json_object_new_array();
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;
	char *text;

	put_int(o, "term", b->term);
	put_str(o, "owner", b->owner);
	while ((t = seam_task_next(b->table, &h)))
		json_object_array_add(a, seam_task_json(t, true));
	json_object_object_add(o, "tasks", a);
	text = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

void seam_bucket_clear(struct seam_bucket *b)
{
	struct seam_handle h = SEAM_HANDLE_NONE;

	while (seam_task_next(b->table, &h))
		seam_task_del(b->table, h);
}

static int read_tasks(struct seam_bucket *b, struct json_object *a)
{
	size_t n = a ? json_object_array_length(a) : 0;
	struct seam_handle h;
	size_t i;

	for (i = 0; i < n; i++) {
		struct seam_task *t = seam_task_add(b->table, &h);

		if (!t || seam_task_parse(json_object_array_get_idx(a, i), t))
			return -1;
	}
	return 0;
}

int seam_bucket_parse(struct seam_bucket *b, const char *text,
		      struct seam_err *e)
{
	struct json_object *o = json_tokener_parse(text);
	int rc = -1;

	seam_bucket_clear(b);
	if (o) {
		b->term = seam_json_int(o, "term", 0);
		get_str(o, "owner", b->owner, sizeof(b->owner));
		rc = read_tasks(b, json_object_object_get(o, "tasks"));
	}
	json_object_put(o);
	return rc ? seam_fail(e, SEAM_INTERNAL, "row %s: malformed", b->key) :
		    0;
}
