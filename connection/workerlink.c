#include "connection/workerlink.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"
#include "base/log.h"
#include "base/transfer.h"

#define QUEUE_MAX 512 /* commands that wait for one worker */
/* Limits the delay of starts that are queued behind an unanswered call. */
#define CALL_TIMEOUT_MS 500L
/* Time to collect renewals, as the buckets of a pass send theirs one by one. */
#define RENEW_DELAY (100 * SEAM_MSEC)
#define RENEWALS_MAX 64 /* in one call */
#define IDLE_TIMEOUT (60 * SEAM_SEC) /* ends the thread of an unused link */
#define BODY_BYTES_MAX (4u << 20) /* response with a listing */
#define REPORTS_MAX 1024 /* reports of one bucket that wait to be polled */

SEAM_METRIC(sent, "seam_worker_commands_total", "Commands sent to workers.");
SEAM_METRIC(unanswered, "seam_worker_commands_unanswered_total",
	    "Commands to workers without a usable answer.");
SEAM_METRIC(dropped, "seam_worker_commands_dropped_total",
	    "Commands not queued because too many waited.");

struct links;

/* The link to one worker: its connection and the thread that uses it. */
struct link {
	struct links *links;
	char worker[64];
	char addr[64];
	GQueue cmds; /* struct seam_worker_cmd, payload owned */
	GQueue renewals; /* struct seam_worker_cmd, sent in one call */
	seam_time renew_at;
	bool single_renewals; /* the worker does not support renew_all */
	pthread_cond_t wake;
	pthread_t thread;
	bool running; /* the thread was started and not joined */
	bool ended; /* the thread is about to return */
	seam_time last_cmd;
	struct seam_listing_schedule schedule;
	CURL *curl;
};

struct links {
	struct seam_workers workers;
	struct seam_clock *clock;
	char auth[256];
	void (*wake)(void *arg);
	void *arg;
	pthread_mutex_t lock;
	GHashTable *by_worker; /* worker id to struct link */
	GHashTable *reports; /* prefix of task ids to GQueue of reports */
	bool stop;
};

static void cmd_free(void *p)
{
	struct seam_worker_cmd *c = p;

	free((char *)c->payload);
	free(c);
}

static struct seam_worker_cmd *cmd_copy(const struct seam_worker_cmd *c)
{
	struct seam_worker_cmd *n = malloc(sizeof(*n));

	if (!n)
		return NULL;
	*n = *c;
	n->payload = c->payload ? strdup(c->payload) : NULL;
	return n;
}

/* Returns the parsed response, or NULL. @body is NULL for a GET. */
static struct json_object *call(struct link *l, const char *addr,
				const char *path, const char *body,
				long *status)
{
	struct curl_slist *list = curl_slist_append(NULL, l->links->auth);
	struct seam_transfer in = {.max = BODY_BYTES_MAX};
	struct json_object *o = NULL;
	char url[160];

	*status = 0;
	g_snprintf(url, sizeof(url), "http://%s/%s", addr, path);
	list = curl_slist_append(list, "Content-Type: application/json");
	list = curl_slist_append(list, "Expect:");
	curl_easy_reset(l->curl);
	curl_easy_setopt(l->curl, CURLOPT_URL, url);
	seam_transfer_setup(l->curl, &in);
	curl_easy_setopt(l->curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(l->curl, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(l->curl, CURLOPT_HTTPHEADER, list);
	if (body)
		curl_easy_setopt(l->curl, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(l->curl) == CURLE_OK)
		curl_easy_getinfo(l->curl, CURLINFO_RESPONSE_CODE, status);
	if (*status == 200 && in.body)
		o = json_tokener_parse(in.body);
	curl_slist_free_all(list);
	free(in.body);
	return o;
}

static void queue_free(void *p)
{
	g_queue_free_full(p, free);
}

/* Reports are stored by bucket, so that a poll visits no others. */
static GQueue *bucket_queue(struct links *links, const char *task)
{
	const char *last = strrchr(task, '~');
	char prefix[SEAM_TASK_ID_SIZE];
	GQueue *q;

	g_strlcpy(prefix, task, last ? (gsize)(last - task) + 2 : 1);
	q = g_hash_table_lookup(links->reports, prefix);
	if (!q) {
		q = g_queue_new();
		g_hash_table_insert(links->reports, g_strdup(prefix), q);
	}
	return q;
}

static void add_report(struct link *l, struct json_object *o)
{
	struct seam_worker_report *r = malloc(sizeof(*r));
	struct links *links = l->links;
	GQueue *q;

	if (!r || seam_worker_report_parse(o, r) ||
	    strcmp(r->worker, l->worker)) {
		free(r);
		seam_metric_add(&unanswered, 1);
		return;
	}
	pthread_mutex_lock(&links->lock);
	q = bucket_queue(links, r->task);
	if (q->length >= REPORTS_MAX)
		free(g_queue_pop_head(q));
	g_queue_push_tail(q, r);
	pthread_mutex_unlock(&links->lock);
}

static void send_cmd(struct link *l, const struct seam_worker_cmd *c)
{
	struct json_object *body = seam_worker_cmd_to_json(c);
	long status;
	struct json_object *o = call(
		l, c->addr, seam_worker_cmd_name(c->cmd_type),
		json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN),
		&status);

	seam_metric_add(&sent, 1);
	if (o)
		add_report(l, o);
	else
		seam_metric_add(&unanswered, 1);
	json_object_put(o);
	json_object_put(body);
}

static bool add_reports(struct link *l, struct json_object *o)
{
	size_t n;
	size_t i;

	if (!json_object_is_type(o, json_type_array))
		return false;
	n = json_object_array_length(o);
	for (i = 0; i < n; i++)
		add_report(l, json_object_array_get_idx(o, i));
	return true;
}

static void list_tasks(struct link *l, const char *addr)
{
	long status;
	struct json_object *o = call(l, addr, "tasks", NULL, &status);

	if (!add_reports(l, o))
		seam_metric_add(&unanswered, 1);
	json_object_put(o);
}

/* Returns true if the worker answered with the states of all tasks. */
static bool send_renew_all(struct link *l, struct seam_worker_cmd **c, size_t n)
{
	struct json_object *body = seam_worker_renewals_to_json(c, n);
	long status;
	struct json_object *o = call(
		l, c[0]->addr, "renew_all",
		json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN),
		&status);
	bool ok = add_reports(l, o);

	seam_metric_add(&sent, 1);
	if (!ok && status != 404)
		seam_metric_add(&unanswered, 1);
	l->single_renewals = status == 404;
	json_object_put(o);
	json_object_put(body);
	return ok;
}

/* Called and returns with the lock held; releases it during calls. */
static void send_renewals(struct link *l)
{
	struct seam_worker_cmd *c[RENEWALS_MAX];
	struct links *links = l->links;
	bool ok = false;
	size_t n = 0;
	size_t i;

	while (n < RENEWALS_MAX && l->renewals.length)
		c[n++] = g_queue_pop_head(&l->renewals);
	pthread_mutex_unlock(&links->lock);
	if (!l->single_renewals)
		ok = send_renew_all(l, c, n);
	for (i = 0; i < n; i++) {
		if (l->single_renewals)
			send_cmd(l, c[i]);
		cmd_free(c[i]);
	}
	if (links->wake)
		links->wake(links->arg);
	pthread_mutex_lock(&links->lock);
	if (ok)
		seam_listing_schedule_reported(&l->schedule, false,
					       seam_now(links->clock));
}

/* Sends @c, or lists the tasks if it is NULL; the lock as in send_renewals. */
static void send_or_list(struct link *l, struct seam_worker_cmd *c)
{
	struct links *links = l->links;
	char addr[64];

	memcpy(addr, l->addr, sizeof(addr));
	pthread_mutex_unlock(&links->lock);
	if (c) {
		send_cmd(l, c);
		cmd_free(c);
	} else {
		list_tasks(l, addr);
	}
	if (links->wake)
		links->wake(links->arg);
	pthread_mutex_lock(&links->lock);
	if (!c)
		seam_listing_schedule_reported(&l->schedule, true,
					       seam_now(links->clock));
}

static void *link_loop(void *arg)
{
	struct link *l = arg;
	struct links *links = l->links;

	l->curl = curl_easy_init();
	pthread_mutex_lock(&links->lock);
	while (!links->stop && l->curl) {
		seam_time now = seam_now(links->clock);
		seam_time next = seam_listing_schedule_next(&l->schedule, now);

		/*
		 * Renewals go before commands that were queued later, whose
		 * higher tokens would fence them.
		 */
		if (l->renewals.length &&
		    (now >= l->renew_at || l->cmds.length))
			send_renewals(l);
		else if (l->cmds.length || now >= next)
			send_or_list(l, g_queue_pop_head(&l->cmds));
		else if (now - l->last_cmd > IDLE_TIMEOUT)
			break;
		else
			seam_wait(links->clock, &l->wake, &links->lock,
				  l->renewals.length ? MIN(next, l->renew_at) :
						       next);
	}
	l->ended = true;
	pthread_mutex_unlock(&links->lock);
	curl_easy_cleanup(l->curl);
	return NULL;
}

static struct link *find_or_add_link(struct links *links, const char *worker)
{
	struct link *l = g_hash_table_lookup(links->by_worker, worker);

	if (l)
		return l;
	l = calloc(1, sizeof(*l));
	if (!l)
		return NULL;
	l->links = links;
	g_strlcpy(l->worker, worker, sizeof(l->worker));
	g_queue_init(&l->cmds);
	g_queue_init(&l->renewals);
	seam_cond_init(&l->wake);
	g_hash_table_insert(links->by_worker, l->worker, l);
	return l;
}

static int ensure_thread(struct link *l, struct seam_err *e)
{
	if (l->running && l->ended) {
		/* It no longer takes the lock and is about to return. */
		pthread_join(l->thread, NULL);
		l->running = false;
	}
	if (l->running)
		return 0;
	l->ended = false;
	if (pthread_create(&l->thread, NULL, link_loop, l))
		return seam_fail(e, SEAM_NO_MEMORY, "cannot start a thread");
	l->running = true;
	l->single_renewals = false;
	return 0;
}

static void enqueue(struct link *l, struct seam_worker_cmd *c)
{
	if (c->cmd_type != SEAM_CMD_RENEW) {
		g_queue_push_tail(&l->cmds, c);
		return;
	}
	if (!l->renewals.length)
		l->renew_at = l->last_cmd + RENEW_DELAY;
	g_queue_push_tail(&l->renewals, c);
}

static int http_send(struct seam_workers *w, const struct seam_worker_cmd *c,
		     struct seam_err *e)
{
	struct links *links = (struct links *)w;
	struct link *l;
	int rc = -1;

	pthread_mutex_lock(&links->lock);
	l = find_or_add_link(links, c->worker);
	if (l && *c->addr)
		g_strlcpy(l->addr, c->addr, sizeof(l->addr));
	if (!l || !*l->addr) {
		seam_fail(e, SEAM_NOT_FOUND, "address of worker %s is unknown",
			  c->worker);
	} else if (l->cmds.length + l->renewals.length >= QUEUE_MAX) {
		seam_metric_add(&dropped, 1);
		seam_fail(e, SEAM_BUSY,
			  "worker %s: queue of %d commands is full", c->worker,
			  QUEUE_MAX);
	} else {
		struct seam_worker_cmd *copy = cmd_copy(c);

		if (copy)
			g_strlcpy(copy->addr, l->addr, sizeof(copy->addr));
		l->last_cmd = seam_now(links->clock);
		seam_listing_schedule_cmd_sent(&l->schedule, c->cmd_type,
					       l->last_cmd);
		if (copy)
			enqueue(l, copy);
		rc = ensure_thread(l, e);
		pthread_cond_signal(&l->wake);
	}
	pthread_mutex_unlock(&links->lock);
	return rc;
}

static size_t http_poll(struct seam_workers *w, const char *prefix,
			struct seam_worker_report *out, size_t max)
{
	struct links *links = (struct links *)w;
	struct seam_worker_report *r;
	size_t n = 0;
	GQueue *q;

	pthread_mutex_lock(&links->lock);
	q = g_hash_table_lookup(links->reports, prefix);
	while (q && n < max && (r = g_queue_pop_head(q))) {
		out[n++] = *r;
		free(r);
	}
	pthread_mutex_unlock(&links->lock);
	return n;
}

static void http_free(struct seam_workers *w)
{
	struct links *links = (struct links *)w;
	GHashTableIter it;
	gpointer v;

	pthread_mutex_lock(&links->lock);
	links->stop = true;
	g_hash_table_iter_init(&it, links->by_worker);
	while (g_hash_table_iter_next(&it, NULL, &v))
		pthread_cond_signal(&((struct link *)v)->wake);
	pthread_mutex_unlock(&links->lock);
	g_hash_table_iter_init(&it, links->by_worker);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct link *l = v;

		if (l->running)
			pthread_join(l->thread, NULL);
		g_queue_clear_full(&l->cmds, cmd_free);
		g_queue_clear_full(&l->renewals, cmd_free);
		pthread_cond_destroy(&l->wake);
		free(l);
	}
	g_hash_table_destroy(links->by_worker);
	g_hash_table_destroy(links->reports);
	pthread_mutex_destroy(&links->lock);
	free(links);
}

static const struct seam_worker_ops ops = {
	.send = http_send,
	.poll = http_poll,
	.free = http_free,
};

struct seam_workers *seam_workerlink_new(struct seam_clock *k, const char *key,
					 void (*wake)(void *arg), void *arg)
{
	struct links *links = calloc(1, sizeof(*links));

	if (!links)
		return NULL;
	links->workers.ops = &ops;
	links->clock = k;
	g_snprintf(links->auth, sizeof(links->auth), "Authorization: Bearer %s",
		   key);
	links->wake = wake;
	links->arg = arg;
	pthread_mutex_init(&links->lock, NULL);
	links->by_worker = g_hash_table_new(g_str_hash, g_str_equal);
	links->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       queue_free);
	return &links->workers;
}
