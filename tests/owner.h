#ifndef OWNER_H
#define OWNER_H

// An owner on the in-memory platform, and the nodes that serve its workers.
#include "request/call.h"
#include "tests/world.h"

// A lane that encodes and decodes messages as between nodes, with fault
// injection.
struct FakeLane {
	seam_lane base;
	seam_lane *real;
	FakeRunners *node;

	bool fail_if_cut(seam_err *e)
	{
		if (!node->cut)
			return false;
		usleep(100000);
		seam_fail(e, SEAM_COMMIT_UNKNOWN, "cut");
		return true;
	}
};

static int fake_lane_send(seam_lane *base, seam_lane_batch *b,
			  seam_time *node_now, seam_time deadline, seam_err *e)
{
	FakeLane *l = (FakeLane *)base;

	size_t len = 0;
	char *text = seam_lane_batch_encode(b, &len);
	seam_lane_batch read = {};
	int rc = l->fail_if_cut(e);

	if (len > SEAM_BODY_MAX)
		rc = seam_fail(e, SEAM_TOO_LARGE, "batch: %zu bytes", len);
	if (b->orders)
		usleep((useconds_t)l->node->orders_delay_ms * 1000);
	rc = rc || seam_lane_batch_decode(text, len, &read, e) ||
	     l->real->ops->send(l->real, &read, node_now, deadline, e);
	if (b->orders && l->node->orders_delay_ms)
		l->node->delayed_orders++;
	free(text);
	seam_lane_batch_free(&read);
	if (rc)
		return -1;
	return l->node->cut_answers ?
		       seam_fail(e, SEAM_COMMIT_UNKNOWN, "answer lost") :
		       0;
}

static int fake_lane_poll(seam_lane *base, const seam_lane_poll *p,
			  seam_lane_events *v, seam_time deadline, seam_err *e)
{
	FakeLane *l = (FakeLane *)base;

	seam_time asked_at = seam_now(seam_clock_boot());
	seam_time arrived = seam_dispatch_now(l->node->dispatch);
	seam_lane_events events = {};

	if (l->fail_if_cut(e) ||
	    l->real->ops->poll(l->real, p, &events, deadline, e))
		return -1;
	while (l->node->hold_events)
		usleep(1000);
	size_t len = 0;
	char *text = seam_lane_events_encode(
		&events, arrived, seam_dispatch_now(l->node->dispatch), &len);
	int rc = seam_lane_events_decode(text, len, asked_at, v, e);

	free(text);
	seam_lane_events_free(&events);
	if (rc || !l->node->cut_answers)
		return rc;
	seam_lane_events_free(v);
	return seam_fail(e, SEAM_COMMIT_UNKNOWN, "answer lost");
}

static void fake_lane_close(seam_lane *base)
{
	FakeLane *l = (FakeLane *)base;

	l->real->ops->close(l->real);
	delete l;
}

static const seam_lane_ops fake_lane_ops = {fake_lane_send, fake_lane_poll,
					    fake_lane_close};

// The nodes as one owner sees them. Its own node has a separate dispatcher.
struct FakeNodes {
	seam_nodes base;
	World *world;
	FakeRunners *own_runners;
	seam_dispatch *dispatch;
	int processor = 500; // of each node, in thousandths of a core
	bool alone = false; // it does not know the other nodes
};

static size_t fake_nodes_list(seam_nodes *base, seam_node_info *info,
			      size_t max)
{
	FakeNodes *n = (FakeNodes *)base;
	size_t count = 0;

	memset(info, 0, max * sizeof(*info));
	info[count].processor = n->processor;
	info[count++].live = true;
	for (auto *x : n->world->nodes) {
		if (n->alone)
			break;
		snprintf(info[count].addr, sizeof(info[count].addr), "%s",
			 x->addr.c_str());
		info[count].processor = n->processor;
		info[count++].live = true;
	}
	return count;
}

static seam_lane *fake_nodes_open(seam_nodes *base, const seam_node_info *info)
{
	FakeNodes *n = (FakeNodes *)base;

	for (auto *x : n->world->nodes)
		if (x->addr == info->addr)
			return &(new FakeLane{{&fake_lane_ops},
					      seam_lane_local_new(x->dispatch),
					      x})
					->base;
	return seam_lane_local_new(n->dispatch);
}

static const seam_nodes_ops fake_nodes_ops = {fake_nodes_list, fake_nodes_open};

// A node that is the owner.
struct Owner {
	World *world;
	FakeNodes nodes;
	seam_ports ports;
	seam_election election;
	seam_scheduler *sched = nullptr;
	seam_err e = SEAM_ERR_INIT;
	std::thread renewals;
	bool stop = false;

	// @watched: the node's view of the election so far, or NULL
	// @alone: its own node serves all workers
	Owner(World *w, const char *name, int processor = 500,
	      const seam_election *watched = nullptr, bool alone = false)
	    : world(w)
	{
		seam_scheduler_conf conf = {500 * SEAM_MSEC, 6 * SEAM_SEC, 64};

		nodes = {{&fake_nodes_ops},
			 w,
			 &w->runners,
			 seam_dispatch_new(w->clock, &w->runners.base),
			 processor,
			 alone};
		ports = w->ports;
		ports.nodes = &nodes.base;

		seam_election_init(&election, &w->store.base, w->clock, name);
		if (watched)
			election = *watched;
		eventually(
			[&] { return seam_election_try_claim(&election, &e); });
		sched = seam_scheduler_open(&conf, w->clock, &ports,
					    &w->ops.catalog, &w->ops, &election,
					    &e);
	}
	// Renews the term in a thread until the destructor.
	void start_renewals()
	{
		renewals = std::thread([this] {
			seam_err err = SEAM_ERR_INIT;

			while (!__atomic_load_n(&stop, __ATOMIC_ACQUIRE)) {
				seam_election_renew(&election, &err);
				usleep(100000);
			}
		});
	}
	void stop_renewals()
	{
		__atomic_store_n(&stop, true, __ATOMIC_RELEASE);
		if (renewals.joinable())
			renewals.join();
	}
	~Owner()
	{
		stop_renewals();
		if (sched)
			seam_scheduler_close(sched);
		seam_dispatch_free(nodes.dispatch);
	}
};

#endif
