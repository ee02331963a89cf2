#include "base/metrics.h"
#include "base/log.h"
#include "base/outage.h"
#include "process/member.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define POLL_PERIOD (1 * SEAM_SEC)
#define POLL_TIMEOUT (2 * SEAM_SEC)
/* Wait for the snapshots of all peers that were asked. */
#define SNAPSHOT_COLLECT_TIME (1 * SEAM_SEC)

SEAM_METRIC(version_gauge, "seam_config_version", "Version in force.");
SEAM_METRIC(confirmed_age, "seam_config_confirmed_age_ms",
	    "Time since the version was known to be the newest.");
SEAM_METRIC(poll_errors, "seam_config_poll_errors_total",
	    "Polls of the configuration that failed.");
SEAM_METRIC(pushed_total, "seam_config_pushed_total",
	    "Changes pushed to peers, one for each peer.");
SEAM_METRIC(from_peers_total, "seam_config_from_peers_total",
	    "Versions adopted from peers.");

/*
 * @pushed is the version that the peers have, from which the next push starts.
 * A version adopted from a peer is not pushed again, as the node that committed
 * it has pushed it to all others.
 */
struct seam_versions {
	struct seam_node *node;
	struct seam_members *members;
	pthread_mutex_t lock;
	struct seam_conf *pushed;
	uint64_t peer_version; /* last version adopted from a peer */
	struct seam_conf *best_snapshot; /* highest version collected */
	int snapshots_pending; /* not yet received */
	seam_time collect_until;
	uint64_t highest_version; /* versions must not decrease */
	struct seam_outage outage; /* of the polls */
};

static uint64_t own_version(struct seam_node *n)
{
	struct seam_conf *c = seam_conf_current(&n->conf);
	uint64_t v = seam_conf_version(c);

	seam_conf_unref(c);
	return v;
}

static struct seam_conf *load_newer(struct seam_node *n, uint64_t head,
				    seam_time deadline, struct seam_err *e)
{
	struct seam_conf *old = seam_conf_current(&n->conf);
	struct seam_conf *c = NULL;

	if (seam_conf_version(old))
		c = seam_conf_catch_up(n->store, old, head, deadline, e);
	if (!c)
		c = seam_conf_load(n->store, deadline, e);
	seam_conf_unref(old);
	return c;
}

static bool adopt(struct seam_versions *v, struct seam_conf *c,
		  const char *source)
{
	uint64_t version = seam_conf_version(c);

	if (!seam_conf_publish(&v->node->conf, c))
		return false;
	seam_log(SEAM_INFO, "version", "Version %" PRIu64 " is in force (%s).",
		 version, source);
	return true;
}

static void poll_failed(struct seam_versions *v, const struct seam_err *e,
			seam_time now)
{
	seam_metric_add(&poll_errors, 1);
	seam_outage_update(&v->outage, e, now);
}

/* Confirms the version as of @now, before the read, which may be slow. */
static bool poll_store(struct seam_versions *v, seam_time now)
{
	struct seam_node *n = v->node;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_conf *c;
	uint64_t head;

	if (seam_conf_head_version(n->store, &head, now + POLL_TIMEOUT, &e)) {
		poll_failed(v, &e, now);
		return false;
	}
	if (head > own_version(n)) {
		c = load_newer(n, head, now + POLL_TIMEOUT, &e);
		if (!c) {
			poll_failed(v, &e, now);
			return false;
		}
		adopt(v, c, "store");
	}
	seam_outage_update(&v->outage, NULL, now);
	if (v->members)
		seam_members_record_store_answer(v->members, now);
	seam_node_confirm(n, now);
	return true;
}

/* Whether to push the change from @old to @new; the caller drops both. */
static bool begin_push(struct seam_versions *v, struct seam_conf **old,
		       struct seam_conf **new)
{
	bool push;

	*new = seam_conf_current(&v->node->conf);
	pthread_mutex_lock(&v->lock);
	*old = v->pushed;
	if (seam_conf_version(*new) <= seam_conf_version(*old)) {
		*old = seam_conf_ref(*old);
		push = false;
	} else {
		push = seam_conf_version(*old) &&
		       seam_conf_version(*new) != v->peer_version;
		v->pushed = seam_conf_ref(*new);
	}
	pthread_mutex_unlock(&v->lock);
	return push;
}

static void push_change(struct seam_versions *v)
{
	struct seam_msg msg = {.kind = SEAM_MSG_CHANGE};
	struct seam_conf *old;
	struct seam_conf *new;
	struct seam_member *b = NULL;
	struct json_object *o;
	size_t n = 0;
	size_t i;

	if (begin_push(v, &old, &new)) {
		o = seam_conf_diff(old, new);
		msg.base = seam_conf_version(old);
		msg.next = seam_conf_version(new);
		msg.text = g_strdup(json_object_to_json_string_ext(
			o, JSON_C_TO_STRING_PLAIN));
		json_object_put(o);
		b = seam_members_copy(v->members, &n);
	}
	for (i = 0; i < n; i++) {
		if (b[i].last.version >= seam_conf_version(new))
			continue;
		seam_members_send(v->members, b[i].peer, &msg);
		seam_metric_add(&pushed_total, 1);
	}
	free(b);
	seam_msg_free(&msg);
	seam_conf_unref(old);
	seam_conf_unref(new);
}

static void request_snapshot(struct seam_versions *v, const char *addr)
{
	struct seam_msg msg = {.kind = SEAM_MSG_SNAPSHOT_GET};

	snprintf(msg.addr, sizeof(msg.addr), "%s", v->node->settings.peer);
	seam_members_send(v->members, addr, &msg);
}

static int request_seed_snapshots(struct seam_versions *v)
{
	char **list = g_strsplit(v->node->settings.seeds, ",", 0);
	int n = 0;

	for (; list[n]; n++)
		request_snapshot(v, g_strstrip(list[n]));
	g_strfreev(list);
	return n;
}

/*
 * Used while the store is unreachable. A node without a configuration requests
 * snapshots from every known peer and collects them; any other node requests
 * one from the live peer with the highest version. A node that is not
 * registered receives no heartbeats, so it also requests a snapshot from each
 * of its seeds every time.
 */
static void request_peer_snapshots(struct seam_versions *v, seam_time now)
{
	uint64_t own = own_version(v->node);
	const struct seam_member *newest = NULL;
	size_t n;
	struct seam_member *b = seam_members_copy(v->members, &n);
	int requested = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (!own) {
			request_snapshot(v, b[i].peer);
			requested++;
		} else if (now < b[i].suspect_at && b[i].last.version > own &&
			   (!newest ||
			    newest->last.version < b[i].last.version)) {
			newest = &b[i];
		}
	}
	if (newest)
		request_snapshot(v, newest->peer);
	if (!n || !seam_members_inc(v->members))
		requested += request_seed_snapshots(v);
	free(b);
	pthread_mutex_lock(&v->lock);
	if (!own && !v->collect_until && requested) {
		v->snapshots_pending = requested;
		v->collect_until = now + SNAPSHOT_COLLECT_TIME;
	}
	pthread_mutex_unlock(&v->lock);
}

/* Adopts the highest snapshot once all peers responded or the time is over. */
static void finish_collection(struct seam_versions *v, seam_time now)
{
	struct seam_conf *c = NULL;

	pthread_mutex_lock(&v->lock);
	if (v->collect_until &&
	    (v->snapshots_pending <= 0 || now >= v->collect_until)) {
		c = v->best_snapshot;
		v->best_snapshot = NULL;
		v->collect_until = 0;
	}
	if (c)
		v->peer_version = seam_conf_version(c);
	pthread_mutex_unlock(&v->lock);
	if (c && adopt(v, c, "peers"))
		seam_metric_add(&from_peers_total, 1);
}

static void confirm_from_peer(struct seam_versions *v, const struct seam_msg *m)
{
	struct seam_conf_sync_peer p = {.version = m->version,
					.confirmed_at = m->confirmed_at};
	struct seam_node *n = v->node;
	seam_time now = seam_now(n->clock);
	seam_time at = seam_conf_confirmed_by_peer(
		own_version(n), &p, n->settings.clock_skew_ms * SEAM_MSEC);

	if (at)
		seam_node_confirm(n, at < now ? at : now);
}

/*
 * Makes the adopted version the base of the next push. The peers have it too,
 * so a change from an older version would not apply to theirs.
 */
static void adopt_peer(struct seam_versions *v, struct seam_conf *c)
{
	struct seam_conf *ref = seam_conf_ref(c);

	pthread_mutex_lock(&v->lock);
	v->peer_version = seam_conf_version(c);
	if (seam_conf_version(ref) > seam_conf_version(v->pushed)) {
		struct seam_conf *old = v->pushed;

		v->pushed = ref;
		ref = old;
	}
	pthread_mutex_unlock(&v->lock);
	seam_conf_unref(ref);
	if (adopt(v, c, "peer"))
		seam_metric_add(&from_peers_total, 1);
}

static void on_change(struct seam_versions *v, const struct seam_msg *m)
{
	struct seam_problems p = {.file = "peer"};
	struct seam_conf *old = seam_conf_current(&v->node->conf);
	struct seam_conf *c = NULL;
	struct json_object *o = NULL;
	enum seam_conf_push_action act =
		seam_conf_decide_push(seam_conf_version(old), m->base, m->next);

	if (act == SEAM_CONF_PUSH_APPLY && m->text)
		o = seam_json_parse(m->text, &p);
	else if (act == SEAM_CONF_PUSH_FETCH)
		seam_node_sync_versions(v->node); /* gap: poll the store now */
	if (o)
		c = seam_conf_apply(old, o, m->next, &p);
	if (c)
		adopt_peer(v, c);
	else if (p.n)
		seam_log(SEAM_WARN, "version",
			 "Change from %s not applied: %s.", m->from, p.text[0]);
	seam_problems_free(&p);
	json_object_put(o);
	seam_conf_unref(old);
}

static void on_snapshot(struct seam_versions *v, const struct seam_msg *m)
{
	struct seam_problems p = {.file = "peer"};
	struct json_object *o = m->text ? seam_json_parse(m->text, &p) : NULL;
	struct seam_conf *c =
		o && m->next ? seam_conf_parse(o, m->next, &p) : NULL;

	pthread_mutex_lock(&v->lock);
	v->snapshots_pending--;
	if (c && v->collect_until) {
		if (!v->best_snapshot ||
		    seam_conf_version(c) >
			    seam_conf_version(v->best_snapshot)) {
			struct seam_conf *old = v->best_snapshot;

			v->best_snapshot = c;
			c = old;
		}
		seam_conf_unref(c);
		c = NULL;
	}
	pthread_mutex_unlock(&v->lock);
	if (c)
		adopt_peer(v, c);
	finish_collection(v, seam_now(v->node->clock));
	seam_problems_free(&p);
	json_object_put(o);
}

/* Sends the whole configuration, or none if the requester has this version. */
static void on_snapshot_get(struct seam_versions *v, const struct seam_msg *m)
{
	struct seam_msg msg = {.kind = SEAM_MSG_SNAPSHOT};
	struct seam_conf *c = seam_conf_current(&v->node->conf);
	struct json_object *o = NULL;

	if (seam_conf_version(c) > m->version) {
		o = seam_conf_to_json(c);
		msg.next = seam_conf_version(c);
		msg.text = g_strdup(json_object_to_json_string_ext(
			o, JSON_C_TO_STRING_PLAIN));
	}
	if (*m->addr)
		seam_members_send(v->members, m->addr, &msg);
	json_object_put(o);
	seam_msg_free(&msg);
	seam_conf_unref(c);
}

static void on_message(void *arg, const struct seam_msg *m)
{
	struct seam_versions *v = arg;

	if (m->kind == SEAM_MSG_CHANGE)
		on_change(v, m);
	else if (m->kind == SEAM_MSG_SNAPSHOT)
		on_snapshot(v, m);
	else if (m->kind == SEAM_MSG_SNAPSHOT_GET)
		on_snapshot_get(v, m);
	if (m->kind != SEAM_MSG_SNAPSHOT_GET)
		confirm_from_peer(v, m);
}

seam_time seam_versions_pass(struct seam_versions *v, seam_time now)
{
	struct seam_node *n = v->node;
	bool reached = poll_store(v, now);
	uint64_t version;

	if (v->members) {
		if (!reached)
			request_peer_snapshots(v, now);
		finish_collection(v, now);
		push_change(v);
	}
	version = own_version(n);
	SEAM_INVARIANT(version >= v->highest_version, "version",
		       "version %" PRIu64 " after %" PRIu64, version,
		       v->highest_version);
	v->highest_version = version;
	seam_metric_set(&version_gauge, (int64_t)version);
	seam_metric_set(&confirmed_age,
			(seam_now(n->clock) - seam_node_confirmed(n)) /
				SEAM_MSEC);
	return now + POLL_PERIOD;
}

struct seam_versions *seam_versions_new(struct seam_node *n,
					struct seam_members *m)
{
	struct seam_versions *v = calloc(1, sizeof(*v));

	if (!v)
		return NULL;
	v->node = n;
	v->members = m;
	v->outage.part = "version";
	v->outage.what = "Configuration";
	v->pushed = seam_conf_empty();
	pthread_mutex_init(&v->lock, NULL);
	if (m)
		seam_members_set_handler(m, on_message, v);
	return v;
}

void seam_versions_free(struct seam_versions *v)
{
	if (!v)
		return;
	if (v->members)
		seam_members_set_handler(v->members, NULL, NULL);
	seam_conf_unref(v->pushed);
	seam_conf_unref(v->best_snapshot);
	pthread_mutex_destroy(&v->lock);
	free(v);
}
