#include "process/platform_node.h"
#include "base/metrics.h"
#include "base/log.h"
#include "process/scheduler.h"
#include "process/store_relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Each relayed wait for changes occupies a connection, as does each batch.
 * While the store was away for all, 146 others kept idle ones here: with a
 * limit of 256 the nodes had more than 30,000 threads.
 */
#define CONTROL_CONNECTIONS_MAX 48
#define PROBE_CONNECTIONS_MAX 16
#define CLAIM_INTERVAL_USEC 350000 /* between reads of the term */
#define NODE_REFRESH_USEC 3000000 /* between writes of this node's row */
/*
 * The owner reads the rows of all nodes at each of these times, others less
 * often: with 147 nodes the reads took 10 KB/s of each node's link.
 */
#define NODE_READ_REFRESHES 5
#define NODE_QUERY_TIMEOUT (400 * SEAM_MSEC) /* for all nodes together */
#define CLAIM_JITTER_USEC 100000
#define RETRY_USEC 100000
/* Minimum time between hand-overs to a larger node. Each one costs about a
 * second in which no task starts. */
#define HANDOVER_INTERVAL_MIN (60 * SEAM_SEC)
/*
 * A node that has not read the jobs by then releases its term: another one may
 * reach the store better.
 */
#define OPEN_TIMEOUT (20 * SEAM_SEC)
/* For requests that still run after half of the grace period. */
#define DRAIN_REQUESTS_TIMEOUT (1500 * SEAM_MSEC)

SEAM_METRIC(terms, "seam_terms_total", "Terms that this node has owned.");
SEAM_METRIC(owner, "seam_owner", "Whether this node is the owner.");

/* Thousandths of a core that the node may use. */
static int node_cpu_milli(const struct seam_platform_settings *s)
{
	return (int)(s->cpu_share * s->cores * 1000);
}

static bool stopping(struct seam_platform_node *n)
{
	return __atomic_load_n(&n->stop, __ATOMIC_ACQUIRE) ||
	       __atomic_load_n(&n->draining, __ATOMIC_ACQUIRE);
}

static void *refresh_loop(void *arg)
{
	struct seam_platform_node *n = arg;
	int i;

	/* All nodes begin at about the same time, so the first reads matter. */
	for (i = 0; !stopping(n); i++) {
		seam_store_relay_refresh(
			n->ports.store,
			i < NODE_READ_REFRESHES ||
				i % NODE_READ_REFRESHES == 0 ||
				__atomic_load_n(&n->owns_term,
						__ATOMIC_RELAXED));
		g_usleep(NODE_REFRESH_USEC);
	}
	return NULL;
}

/* Whether to hand over to a larger node. If that node cannot claim the term,
 * this one claims it again and keeps it until the next hand-over is due. */
static bool should_hand_over(struct seam_platform_node *n)
{
	seam_time now = seam_now(n->clock);

	if (now < n->next_handover ||
	    !seam_store_relay_has_larger(n->ports.store))
		return false;
	n->next_handover = now + HANDOVER_INTERVAL_MIN;
	seam_log(SEAM_INFO, "owner", "event=handed_over term=%llu",
		 (unsigned long long)n->election.term);
	return true;
}

/*
 * A scheduler that is being opened: it reads all jobs, which takes seconds on a
 * narrow link.
 *
 * @opened: it was opened, or has failed to; set by the thread
 */
struct opening {
	struct seam_platform_node *node;
	struct seam_scheduler_conf conf;
	struct seam_scheduler *sched;
	struct seam_err err;
	bool opened;
};

static bool has_opened(struct opening *o)
{
	return __atomic_load_n(&o->opened, __ATOMIC_ACQUIRE);
}

/*
 * Renews the term until it is lost or to be released, or until @o has opened if
 * it is given; returns whether the term is still owned.
 */
static bool renew_term(struct seam_platform_node *n, struct opening *o)
{
	seam_time begin = seam_now(n->clock);
	struct seam_err e = SEAM_ERR_INIT;
	seam_time asked_at;

	while (!stopping(n) && !(o && has_opened(o))) {
		seam_err_clear(&e);
		if (o && seam_now(n->clock) > begin + OPEN_TIMEOUT)
			return true;
		if (!seam_election_renew(&n->election, &e)) {
			if (!o && should_hand_over(n))
				return true;
			g_usleep(SEAM_ELECTION_RENEW_INTERVAL);
			continue;
		}
		seam_log(SEAM_WARN, "owner",
			 "event=renewal_failed term=%llu kind=%s why=\"%s\"",
			 (unsigned long long)n->election.term,
			 seam_err_kind_info(e.kind)->name, e.text);
		if (e.kind == SEAM_CONFLICT)
			return false;
		asked_at = seam_now(n->clock);
		if (seam_store_relay_all_lost(n->ports.store,
					      asked_at + NODE_QUERY_TIMEOUT))
			seam_election_extend(&n->election, asked_at);
		g_usleep(RETRY_USEC);
	}
	return true;
}

static void *open_scheduler(void *arg)
{
	struct opening *o = arg;
	struct seam_platform_node *n = o->node;

	o->sched = seam_scheduler_open(&o->conf, n->clock, &n->ports,
				       &n->op_state.catalog, &n->op_state,
				       &n->election, &o->err);
	__atomic_store_n(&o->opened, true, __ATOMIC_RELEASE);
	return NULL;
}

/*
 * Opens the scheduler in a thread of its own, while this one renews the term.
 * Returns whether the term is still owned.
 */
static bool open_term(struct seam_platform_node *n, struct opening *o)
{
	pthread_t thread;
	bool owned;

	if (pthread_create(&thread, NULL, open_scheduler, o)) {
		seam_fail(&o->err, SEAM_NO_MEMORY, "cannot start a thread");
		return true;
	}
	owned = renew_term(n, o);
	pthread_join(thread, NULL);
	return owned;
}

/*
 * Ends the term. It is released before the threads end, which may wait for a
 * slow store: the next owner's fencing token rejects their outstanding calls.
 */
static void end_term(struct seam_platform_node *n, struct seam_scheduler *sched,
		     bool owned)
{
	if (owned) {
		seam_scheduler_stop(sched);
		seam_election_release(&n->election);
	}
	seam_scheduler_close(sched);
}

static void note_told_lost(struct seam_platform_node *n)
{
	seam_election_note_told_lost(
		&n->election, seam_store_relay_told_lost_at(n->ports.store));
}

static void run_term(struct seam_platform_node *n)
{
	struct opening o = {
		.node = n,
		.conf = {.vm_lease = n->settings.vm_lease_ms * SEAM_MSEC,
			 .lease_max = n->settings.lease_max_ms * SEAM_MSEC,
			 .vm_orders_per_s = n->settings.vm_orders_per_s},
		.err = SEAM_ERR_INIT};
	bool owned;

	note_told_lost(n);
	seam_metric_add(&terms, 1);
	seam_log(SEAM_INFO, "owner",
		 "event=term_claimed term=%llu since_prior_orders_ms=%lld",
		 (unsigned long long)n->election.term,
		 (long long)(seam_now(n->clock) - n->election.orders_until) /
			 SEAM_MSEC);
	__atomic_store_n(&n->owns_term, true, __ATOMIC_RELAXED);
	owned = open_term(n, &o);
	if (!o.sched) {
		seam_log(SEAM_ERROR, "owner",
			 "event=term_unopened term=%llu why=\"%s\"",
			 (unsigned long long)n->election.term, o.err.text);
		__atomic_store_n(&n->owns_term, false, __ATOMIC_RELAXED);
		if (owned)
			seam_election_release(&n->election);
		g_usleep(CLAIM_INTERVAL_USEC);
		return;
	}
	seam_metric_set(&owner, 1);
	if (owned)
		owned = renew_term(n, NULL);
	end_term(n, o.sched, owned);
	__atomic_store_n(&n->owns_term, false, __ATOMIC_RELAXED);
	seam_metric_set(&owner, 0);
}

static void *election_loop(void *arg)
{
	struct seam_platform_node *n = arg;
	struct seam_err e = SEAM_ERR_INIT;

	while (!stopping(n)) {
		seam_err_clear(&e);
		n->election.delay_claim =
			seam_store_relay_has_larger(n->ports.store);
		note_told_lost(n);
		if (seam_op_state_ready(&n->op_state) &&
		    seam_election_try_claim(&n->election, &e))
			run_term(n);
		else
			g_usleep(CLAIM_INTERVAL_USEC +
				 (gulong)g_random_int_range(0,
							    CLAIM_JITTER_USEC));
	}
	return NULL;
}

static void serve_ready(struct seam_call *c, void *arg)
{
	struct seam_platform_node *n = arg;
	bool ready = seam_op_state_ready(&n->op_state) && !stopping(n) &&
		     !seam_store_relay_is_unreachable(n->ports.store);

	seam_reply_text(c, ready ? 200 : 503, "text/plain",
			ready ? "ready\n" : "not ready\n");
}

static void serve_metrics(struct seam_call *c, void *arg)
{
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	(void)arg;
	if (f) {
		seam_metrics_write(f);
		fclose(f);
	}
	seam_reply_text(c, text ? 200 : 503, "text/plain; version=0.0.4",
			text ? text : "");
	free(text);
}

static int start_servers(struct seam_platform_node *n, struct seam_err *e)
{
	n->front = seam_http_new(n->clock);
	n->probes = seam_http_new(n->clock);
	n->control = seam_http_new(n->clock);
	if (!n->front || !n->probes || !n->control)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	seam_http_route(n->front, "*", "/", seam_submit_serve, &n->submit);
	seam_http_route(n->probes, "GET", "/", serve_ready, n);
	seam_http_route(n->control, "GET", "/metrics", serve_metrics, n);
	seam_store_relay_serve(n->ports.store, n->control);
	seam_dispatch_serve(n->dispatch, n->control);
	if (seam_http_start(n->probes, n->settings.ready, PROBE_CONNECTIONS_MAX,
			    e) ||
	    seam_http_start(n->control, n->settings.control,
			    CONTROL_CONNECTIONS_MAX, e))
		return -1;
	return seam_http_start(n->front, n->settings.listen,
			       (int)n->settings.threads, e);
}

/* This node comes first, with an empty address: it is not called over HTTP. */
static size_t list_nodes(struct seam_nodes *base, struct seam_node_info *info,
			 size_t max)
{
	struct seam_platform_node *n = (struct seam_platform_node *)base;

	memset(info, 0, sizeof(*info));
	snprintf(info->dc, sizeof(info->dc), "%s", n->settings.data_centre);
	info->processor = node_cpu_milli(&n->settings);
	info->live = true;
	return 1 + seam_store_relay_nodes(n->ports.store, info + 1, max - 1);
}

static struct seam_lane *open_lane(struct seam_nodes *base,
				   const struct seam_node_info *info)
{
	struct seam_platform_node *n = (struct seam_platform_node *)base;

	return *info->addr ? seam_lane_http_new(n->clock, info->addr) :
			     seam_lane_local_new(n->dispatch);
}

static const struct seam_nodes_ops nodes_ops = {
	.list = list_nodes,
	.open = open_lane,
};

int seam_platform_node_start(struct seam_platform_node *n,
			     const struct seam_platform_settings *s,
			     struct seam_clock *k, const struct seam_ports *p,
			     const struct seam_front_ops *front,
			     struct seam_err *e)
{
	struct seam_relay_conf relay = {.node = s->node,
					.control = s->control,
					.data_centre = s->data_centre,
					.processor = node_cpu_milli(s),
					.seeds = s->seeds};

	n->settings = *s;
	n->clock = k;
	n->ports = *p;
	n->ports.store = seam_store_relay_new(p->store, k, &relay);
	n->nodes.ops = &nodes_ops;
	n->ports.nodes = &n->nodes;
	n->dispatch = seam_dispatch_new(k, p->runners);
	if (!n->ports.store || !n->dispatch)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	seam_log(SEAM_INFO, "node", "event=start node=%s data_centre=%s",
		 s->node, s->data_centre);
	if (seam_op_state_start(&n->op_state, &n->ports, k, e))
		return -1;
	n->submit.front = front;
	n->submit.clock = k;
	n->submit.store = n->ports.store;
	n->submit.catalog = &n->op_state.catalog;
	n->submit.store_unreachable = seam_store_relay_is_unreachable;
	seam_election_init(&n->election, n->ports.store, k, s->node);
	if (start_servers(n, e))
		return -1;
	if (pthread_create(&n->refresh_thread, NULL, refresh_loop, n) ||
	    pthread_create(&n->election_thread, NULL, election_loop, n))
		return seam_fail(e, SEAM_NO_MEMORY, "cannot start a thread");
	return 0;
}

bool seam_platform_node_drain(struct seam_platform_node *n)
{
	seam_time end =
		seam_now(n->clock) + n->settings.grace_ms / 2 * SEAM_MSEC;

	seam_log(SEAM_INFO, "node", "event=drain node=%s", n->settings.node);
	__atomic_store_n(&n->draining, true, __ATOMIC_RELEASE);
	seam_http_disable_keep_alive(n->front);
	pthread_join(n->election_thread, NULL);
	seam_dispatch_shutdown(n->dispatch);
	while (seam_now(n->clock) < end)
		g_usleep(RETRY_USEC);
	return seam_http_drain(n->front, end + DRAIN_REQUESTS_TIMEOUT);
}

void seam_platform_node_stop(struct seam_platform_node *n)
{
	if (!stopping(n)) {
		__atomic_store_n(&n->stop, true, __ATOMIC_RELEASE);
		pthread_join(n->election_thread, NULL);
	}
	seam_dispatch_shutdown(n->dispatch);
	seam_http_free(n->front);
	seam_http_free(n->control);
	seam_http_free(n->probes);
	pthread_join(n->refresh_thread, NULL);
	seam_dispatch_free(n->dispatch);
	seam_op_state_stop(&n->op_state);
	seam_log(SEAM_INFO, "node", "event=stop node=%s", n->settings.node);
}
