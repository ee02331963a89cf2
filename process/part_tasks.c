#include "base/metrics.h"
#include "base/log.h"
#include "connection/workerlink.h"
#include "process/member.h"
#include "process/node.h"
#include "process/task.h"

#include <glib.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define QUEUES "/v1/queues/"
#define TASKS "/v1/tasks/"
#define EXPLAIN "/v1/explain/task/"
#define DAY_US (86400 * (seam_time)SEAM_SEC)
#define MINUTE_US (60 * (seam_time)SEAM_SEC)
#define CPU_MAX_MILLI 10000000 /* thousandths of a core */
#define MEMORY_MAX_MB (1 << 30)
#define ACCELERATORS_MAX 10000

SEAM_METRIC(refused, "seam_task_requests_refused_total",
	    "Requests about tasks that were refused.");

/* Task queues: the HTTP interface and the loop that runs scheduling passes. */
struct task_part {
	struct seam_part part;
	struct seam_node *node;
	struct seam_tasks *tasks;
	struct seam_task_ctx ctx;
	struct seam_loop loop;
	pthread_mutex_t lock;
	bool looping; /* guarded by lock */
};

/* Body of a request that submits a task. */
struct body {
	char kind[64];
	char group[64];
	int64_t cpu;
	int64_t mem;
	int64_t acc;
	int64_t finish_by;
	bool idempotent;
};

#define FIELD(name_, type_, member, min_, max_, required_)                 \
	{                                                                  \
		.name = (name_), .type = (type_),                          \
		.off = offsetof(struct body, member),                      \
		.size = sizeof(((struct body *)0)->member), .min = (min_), \
		.max = (max_), .required = (required_)                     \
	}

static const struct seam_json_field fields[] = {
	FIELD("kind", SEAM_JSON_NAME, kind, 0, 0, true),
	FIELD("group", SEAM_JSON_NAME, group, 0, 0, false),
	FIELD("cpu_milli", SEAM_JSON_INT, cpu, 1, CPU_MAX_MILLI, true),
	FIELD("memory_mb", SEAM_JSON_INT, mem, 1, MEMORY_MAX_MB, true),
	FIELD("accelerators", SEAM_JSON_INT, acc, 0, ACCELERATORS_MAX, false),
	FIELD("finish_by", SEAM_JSON_INT, finish_by, 1, INT64_MAX, false),
	FIELD("idempotent", SEAM_JSON_BOOL, idempotent, 0, 0, false),
	{.name = "payload", .type = SEAM_JSON_ANY},
};

static const struct seam_key *
authenticate(struct task_part *p, const struct seam_conf *c,
	     seam_time confirmed, struct seam_call *call, struct seam_err *e)
{
	const char *text = seam_call_key(call);
	const struct seam_key *key;

	if (!text) {
		seam_fail(e, SEAM_UNAUTHENTICATED, "a key is required");
		return NULL;
	}
	key = seam_conf_authenticate(c, text, e);
	if (!key ||
	    seam_node_check_fresh(p->node, SEAM_FRESH_PUT_TASK, confirmed, e))
		return NULL;
	return key;
}

/* Queue of a path /v1/queues/QUEUE/tasks, if @key may use it. */
static const struct seam_queue *find_queue(const struct seam_conf *c,
					   const struct seam_key *key,
					   const char *path, struct seam_err *e)
{
	const char *at = path + strlen(QUEUES);
	size_t n = strcspn(at, "/");
	const struct seam_queue *q = NULL;
	char name[SEAM_CONF_NAME_SIZE];

	if (n && n < sizeof(name) && !strcmp(at + n, "/tasks")) {
		memcpy(name, at, n);
		name[n] = '\0';
		q = seam_conf_lookup(c, SEAM_CONF_QUEUE, name);
	}
	if (!q) {
		seam_fail(e, SEAM_NOT_FOUND, "no queue at %s", path);
		return NULL;
	}
	/* Operators have no team key. */
	if (key && !q->open && strcmp(q->team, key->team)) {
		seam_fail(e, SEAM_FORBIDDEN, "team %s may not use queue %s",
			  key->team, q->name);
		return NULL;
	}
	return q;
}

static seam_time resolve_finish_by(const struct seam_queue *q,
				   const struct body *b, seam_time now)
{
	seam_time at;

	if (b->finish_by)
		return b->finish_by;
	if (q->finish_at < 0)
		return SEAM_NEVER;
	at = now - now % DAY_US + q->finish_at * MINUTE_US;
	return at > now ? at : at + DAY_US;
}

static int read_body(struct seam_call *call, struct json_object **o,
		     struct body *b, struct seam_err *e)
{
	struct seam_problems p = {.file = "task"};
	int rc = -1;

	memset(b, 0, sizeof(*b));
	b->idempotent = true;
	*o = seam_json_parse(call->body ? call->body : "", &p);
	if (*o)
		rc = seam_json_decode(*o, fields, G_N_ELEMENTS(fields), b, "",
				      &p);
	if (rc)
		seam_problems_to_err(&p, SEAM_BAD_REQUEST, e);
	seam_problems_free(&p);
	return rc;
}

static int submit(struct task_part *p, struct seam_call *call,
		  const struct seam_key *key, const struct seam_queue *q,
		  char id[SEAM_TASK_ID_SIZE], struct seam_err *e)
{
	seam_time now = seam_now(p->node->clock);
	struct seam_task_spec a = {.team = key->team, .queue = q};
	struct json_object *o = NULL;
	struct json_object *payload;
	struct body b;
	int rc = -1;

	if (!read_body(call, &o, &b, e)) {
		a.idem_key = seam_call_header(call, "Idempotency-Key");
		a.kind = b.kind;
		a.group = b.group;
		a.need = (struct seam_need){b.cpu, b.mem, b.acc};
		a.urgent = q->priority == SEAM_PRIORITY_URGENT;
		a.idempotent = q->idempotent && b.idempotent;
		a.finish_by = resolve_finish_by(q, &b, now);
		if (json_object_object_get_ex(o, "payload", &payload))
			a.payload = json_object_to_json_string_ext(
				payload, JSON_C_TO_STRING_PLAIN);
		if (a.payload && strlen(a.payload) > SEAM_TASK_PAYLOAD_MAX)
			seam_fail(e, SEAM_TOO_LARGE, "payload: over %d bytes",
				  SEAM_TASK_PAYLOAD_MAX);
		else
			rc = seam_tasks_submit(p->tasks, &a, id, call->deadline,
					       e);
	}
	json_object_put(o);
	return rc;
}

static void reply_refused(struct seam_call *call, const struct seam_err *e)
{
	seam_metric_add(&refused, 1);
	seam_reply_err(call, e);
}

static void on_submit(struct seam_call *call, void *arg)
{
	struct task_part *p = arg;
	seam_time confirmed = seam_node_confirmed(p->node);
	struct seam_conf *c = seam_conf_current(&p->node->conf);
	struct seam_err e = SEAM_ERR_INIT;
	const struct seam_key *key = authenticate(p, c, confirmed, call, &e);
	const struct seam_queue *q =
		key ? find_queue(c, key, call->path, &e) : NULL;
	char text[SEAM_TASK_ID_SIZE + 16];
	char id[SEAM_TASK_ID_SIZE];

	if (!q || submit(p, call, key, q, id, &e)) {
		reply_refused(call, &e);
	} else {
		snprintf(text, sizeof(text), "{\"id\":\"%s\"}", id);
		seam_reply_text(call, 202, "application/json", text);
	}
	seam_conf_unref(c);
}

static void reply_task(struct seam_call *call, struct json_object *o,
		       const struct seam_err *e)
{
	if (!o) {
		reply_refused(call, e);
		return;
	}
	seam_reply_text(
		call, 200, "application/json",
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* A key lists the tasks of its own team; operators list those of all teams. */
static GPtrArray *listed_teams(const struct seam_conf *c,
			       const struct seam_key *key,
			       const struct seam_queue *q)
{
	GPtrArray *a = g_ptr_array_new();
	struct seam_handle h = SEAM_HANDLE_NONE;
	const struct seam_team *t;

	if (key)
		g_ptr_array_add(a, (gpointer)key->team);
	else if (!q->open)
		g_ptr_array_add(a, (gpointer)q->team);
	else
		while ((t = seam_conf_next(c, SEAM_CONF_TEAM, &h)))
			g_ptr_array_add(a, (gpointer)t->name);
	g_ptr_array_sort(a, compare_names);
	return a;
}

static struct json_object *
list_tasks(struct task_part *p, struct seam_call *call,
	   const struct seam_conf *c, const struct seam_key *key,
	   const struct seam_queue *q, struct seam_err *e)
{
	struct seam_task_list_query a = {.queue = q->name};
	GPtrArray *teams = listed_teams(c, key, q);
	struct json_object *o = NULL;

	a.teams = (const char *const *)teams->pdata;
	a.n_teams = teams->len;
	if (!seam_task_list_query_parse(call->query, &a, e))
		o = seam_tasks_list(p->tasks, &a, call->deadline, e);
	g_ptr_array_free(teams, TRUE);
	return o;
}

static void on_list(struct seam_call *call, void *arg)
{
	struct task_part *p = arg;
	seam_time confirmed = seam_node_confirmed(p->node);
	struct seam_conf *c = seam_conf_current(&p->node->conf);
	struct seam_err e = SEAM_ERR_INIT;
	const struct seam_key *key = NULL;
	const struct seam_queue *q = NULL;
	struct json_object *o = NULL;

	if (seam_node_is_operator(p->node, call, &e)) {
		q = find_queue(c, NULL, call->path, &e);
	} else {
		seam_err_clear(&e);
		key = authenticate(p, c, confirmed, call, &e);
		q = key ? find_queue(c, key, call->path, &e) : NULL;
	}
	if (q)
		o = list_tasks(p, call, c, key, q, &e);
	reply_task(call, o, &e);
	seam_conf_unref(c);
}

static void on_queue_tasks(struct seam_call *call, void *arg)
{
	if (!strcmp(call->method, "POST"))
		on_submit(call, arg);
	else
		on_list(call, arg);
}

/* Id of the task, or NULL if it does not belong to the team of @key. */
static const char *own_task(struct seam_call *call, const struct seam_key *key,
			    struct seam_err *e)
{
	const char *id = call->path + strlen(TASKS);
	size_t n = strlen(key->team);

	if (!strncmp(id, key->team, n) && id[n] == '~')
		return id;
	seam_fail(e, SEAM_NOT_FOUND, "team %s has no such task", key->team);
	return NULL;
}

static void on_task(struct seam_call *call, void *arg)
{
	struct task_part *p = arg;
	seam_time confirmed = seam_node_confirmed(p->node);
	struct seam_conf *c = seam_conf_current(&p->node->conf);
	struct seam_err e = SEAM_ERR_INIT;
	const struct seam_key *key = authenticate(p, c, confirmed, call, &e);
	const char *id = key ? own_task(call, key, &e) : NULL;
	bool del = !strcmp(call->method, "DELETE");

	if (!id || (del && seam_tasks_cancel(p->tasks, id, call->deadline, &e)))
		reply_refused(call, &e);
	else
		reply_task(call,
			   seam_tasks_get(p->tasks, id, call->deadline, &e),
			   &e);
	seam_conf_unref(c);
}

static void on_workers(struct seam_call *call, void *arg)
{
	struct task_part *p = arg;
	struct seam_err e = SEAM_ERR_INIT;

	if (!seam_node_is_operator(p->node, call, &e))
		reply_refused(call, &e);
	else
		reply_task(call, seam_tasks_workers(p->tasks), &e);
}

static void on_explain(struct seam_call *call, void *arg)
{
	struct task_part *p = arg;
	const char *id = call->path + strlen(EXPLAIN);
	struct seam_err e = SEAM_ERR_INIT;

	if (!seam_node_is_operator(p->node, call, &e))
		reply_refused(call, &e);
	else
		reply_task(call,
			   seam_tasks_explain(p->tasks, id, call->deadline, &e),
			   &e);
}

static seam_time run_pass(void *arg, seam_time now)
{
	struct task_part *p = arg;

	return seam_tasks_pass(p->tasks, now);
}

/* Called by worker link threads, which may outlive the thread of the loop. */
static void wake_loop(void *arg)
{
	struct task_part *p = arg;

	pthread_mutex_lock(&p->lock);
	if (p->looping)
		seam_loop_wake(&p->loop);
	pthread_mutex_unlock(&p->lock);
}

static void notify_owner(void *arg, const char *key)
{
	struct task_part *p = arg;

	if (p->node->members)
		seam_members_send_hint(p->node->members, key, key);
}

static void on_hint(void *arg, const char *key)
{
	struct task_part *p = arg;

	seam_tasks_hint(p->tasks, key);
}

static int create(struct task_part *p, struct seam_err *e)
{
	struct seam_node *n = p->node;
	struct seam_task_ctx *c = &p->ctx;

	snprintf(c->node, sizeof(c->node), "%s#%016llx", n->settings.node,
		 (unsigned long long)seam_store_token());
	c->clock = n->clock;
	c->store = n->store;
	c->owner = n->owner;
	c->conf = &n->conf;
	c->fleet = n->fleet;
	c->workers = seam_workerlink_new(n->clock, n->settings.cluster_key,
					 wake_loop, p);
	c->placer = seam_placer_best_fit();
	c->sizes = seam_sizes_new();
	c->order = seam_task_order_fair(&n->conf);
	c->limit = seam_task_limit_teams(n->store, &n->conf);
	seam_task_limit_set_notify(c->limit, seam_node_hint_team, n);
	c->lease = n->settings.lease_ms * SEAM_MSEC;
	c->skew = n->settings.clock_skew_ms * SEAM_MSEC;
	c->hint = notify_owner;
	c->hint_arg = p;
	if (!c->workers || !c->placer || !c->sizes || !c->order)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	p->tasks = seam_tasks_new(c);
	if (!p->tasks)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	seam_tasks_set_wake(p->tasks, wake_loop, p);
	if (n->members)
		seam_members_set_hint_handler(n->members, "queue/", on_hint, p);
	return 0;
}

static int start(struct seam_part *part, struct seam_err *e)
{
	struct task_part *p = (struct task_part *)part;
	struct seam_http *h = p->node->http;

	if (create(p, e))
		return -1;
	seam_http_route(h, "GET|POST", QUEUES, on_queue_tasks, p);
	seam_http_route(h, "GET|DELETE", TASKS, on_task, p);
	seam_http_route(h, "GET", "/v1/workers", on_workers, p);
	seam_http_route(h, "GET", EXPLAIN, on_explain, p);
	pthread_mutex_lock(&p->lock);
	p->looping = !seam_loop_start(&p->loop, p->node->clock, run_pass, p, e);
	pthread_mutex_unlock(&p->lock);
	return p->looping ? 0 : -1;
}

static void stop(struct seam_part *part)
{
	struct task_part *p = (struct task_part *)part;
	struct seam_task_ctx *c = &p->ctx;

	bool looping;

	pthread_mutex_lock(&p->lock);
	looping = p->looping;
	p->looping = false;
	pthread_mutex_unlock(&p->lock);
	if (p->node->members)
		seam_members_set_hint_handler(p->node->members, "queue/", NULL,
					      NULL);
	if (looping)
		seam_loop_stop(&p->loop);
	seam_tasks_free(p->tasks);
	if (c->workers)
		c->workers->ops->free(c->workers);
	if (c->placer)
		c->placer->ops->free(c->placer);
	if (c->order)
		c->order->ops->free(c->order);
	if (c->limit)
		c->limit->ops->free(c->limit);
	seam_sizes_free(c->sizes);
	pthread_mutex_destroy(&p->lock);
	free(p);
}

static const struct seam_part_ops ops = {
	.name = "task",
	.start = start,
	.stop = stop,
};

struct seam_part *seam_part_tasks(struct seam_node *n)
{
	struct task_part *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	pthread_mutex_init(&p->lock, NULL);
	p->part.ops = &ops;
	p->node = n;
	return &p->part;
}
