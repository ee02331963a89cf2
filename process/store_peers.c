/* Other nodes of a relay: discovery, backoff, and choice of one for a call. */
#include "process/store_relay_impl.h"
#include "base/json.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Backoff of a peer that failed to forward a call. It doubles with each further
 * failure until the peer forwards a call. */
#define PEER_BACKOFF (700 * SEAM_MSEC)
#define PEER_BACKOFF_DOUBLINGS_MAX 4
#define GONE_REFRESHES 5 /* without a change of its row a node is gone */
#define REFRESH_TIMEOUT (800 * SEAM_MSEC)
#define PAGE_ROWS 400
/*
 * Threads that ask the peers whether they reach the store. One after the other,
 * 146 of them take longer than the owner has until its term ends.
 */
#define QUERY_THREADS 8

/*
 * Row of a node.
 *
 * @version: version at the last refresh
 * @unchanged: refreshes since a read that found another version
 */
struct node_row {
	uint64_t version;
	int unchanged;
};

static bool is_preferred(const struct peer *a, const struct peer *b)
{
	if (a->live != b->live)
		return a->live;
	return a->processor > b->processor;
}

/*
 * Returns the largest peer that is not in backoff, or -1. The largest is used
 * since a small node can't forward all reads and writes of an owner. Among
 * equal peers, watches use another one than short calls.
 */
int relay_pick_peer(struct relay *r, bool is_watch, seam_time now)
{
	int found = -1;
	int i;

	pthread_mutex_lock(&r->lock);
	for (i = 0; i < r->peers; i++) {
		int k = (int)((r->offset + (guint)is_watch + (guint)i) %
			      (guint)r->peers);

		if (now >= r->peer[k].retry_at &&
		    (found < 0 || is_preferred(&r->peer[k], &r->peer[found])))
			found = k;
	}
	pthread_mutex_unlock(&r->lock);
	return found;
}

/* Any response of the store, also an error, counts as @served by peer @i. */
void relay_record_result(struct relay *r, int i, bool served)
{
	seam_time now = seam_now(r->clock);
	struct peer *p = &r->peer[i];
	int doublings;

	pthread_mutex_lock(&r->lock);
	if (served) {
		p->failures = 0;
		r->ok_at = now;
	} else {
		doublings = p->failures < PEER_BACKOFF_DOUBLINGS_MAX ?
				    p->failures :
				    PEER_BACKOFF_DOUBLINGS_MAX;
		p->failures++;
		p->retry_at = now + (PEER_BACKOFF << doublings);
	}
	pthread_mutex_unlock(&r->lock);
}

/* Peers are never removed; each call to one that is gone puts it in backoff. */
void relay_add_peer(struct relay *r, const char *addr, int processor,
		    const char *dc, bool live)
{
	char url[128];
	int i;

	if (!*addr || !strcmp(addr, r->control))
		return;
	snprintf(url, sizeof(url), "http://%s/v1/store", addr);
	pthread_mutex_lock(&r->lock);
	for (i = 0; i < r->peers; i++)
		if (!strcmp(r->peer[i].addr, addr))
			break;
	if (i == r->peers && r->peers < PEERS_MAX) {
		struct peer *p = &r->peer[r->peers];

		snprintf(p->addr, sizeof(p->addr), "%s", addr);
		p->store = seam_store_http_new(r->clock, url);
		snprintf(url, sizeof(url), "http://%s", addr);
		p->state = seam_rest_new(r->clock, url);
		if (p->store && p->state) {
			seam_store_http_keep_one_connection(p->store);
			seam_rest_keep_one_connection(p->state);
			r->peers++;
		}
	}
	if (i < r->peers) {
		r->peer[i].live = live;
		r->peer[i].processor = processor;
		snprintf(r->peer[i].dc, sizeof(r->peer[i].dc), "%s", dc);
	}
	pthread_mutex_unlock(&r->lock);
}

/*
 * A node writes its row at each refresh. If a row is unchanged over several
 * refreshes, its node is gone and need not be waited for. A single refresh may
 * find a row unchanged, since all nodes refresh at the same interval.
 */
static void update_node(struct relay *r, const struct seam_row *row)
{
	struct node_row *s = g_hash_table_lookup(r->node_rows, row->key);
	char addr[64] = "";
	char dc[SEAM_NAME_SIZE] = "";
	int processor = 0;

	if (!s) {
		s = g_new0(struct node_row, 1);
		g_hash_table_insert(r->node_rows, g_strdup(row->key), s);
	}
	s->unchanged =
		s->version == row->version ? s->unchanged + r->refreshes : 0;
	s->version = row->version;
	sscanf(row->data, "%63s %d %63s", addr, &processor, dc);
	relay_add_peer(r, addr, processor, dc, s->unchanged < GONE_REFRESHES);
}

/* Reads the rows of all nodes. */
static int read_nodes(struct relay *r, seam_time deadline, struct seam_err *e)
{
	char after[SEAM_KEY_MAX] = "";
	struct seam_rows rows;
	size_t i;
	bool more;

	do {
		if (seam_store_scan(&r->local.store, SEAM_NODE_ROW_PREFIX,
				    *after ? after : NULL, PAGE_ROWS, &rows,
				    deadline, e))
			return -1;
		for (i = 0; i < rows.n; i++)
			update_node(r, &rows.row[i]);
		more = rows.more;
		if (more)
			g_strlcpy(after, rows.row[rows.n - 1].key,
				  sizeof(after));
		seam_rows_free(&rows);
	} while (more);
	return 0;
}

/* A row that is not written for a while tells that the node is gone. */
static int register_node(struct relay *r, struct seam_err *e)
{
	char key[SEAM_KEY_MAX];
	char text[160];

	snprintf(key, sizeof(key), SEAM_NODE_ROW_PREFIX "%s", r->node);
	snprintf(text, sizeof(text), "%s %d %s", r->control, r->processor,
		 r->dc);
	seam_row_writer_set_key(&r->node_row, key);
	return seam_row_writer_put(&r->node_row, &r->local.store, r->clock,
				   NULL, text, REFRESH_TIMEOUT, e);
}

void seam_store_relay_refresh(struct seam_store *base, bool read)
{
	struct relay *r = (struct relay *)base;
	seam_time deadline = seam_now(r->clock) + REFRESH_TIMEOUT;
	struct seam_err e = SEAM_ERR_INIT;

	r->refreshes++;
	if (read && !read_nodes(r, deadline, &e)) {
		r->refreshes = 0;
		__atomic_store_n(&r->nodes_read, true, __ATOMIC_RELEASE);
	}
	seam_err_clear(&e);
	if (register_node(r, &e))
		seam_log(SEAM_WARN, "store",
			 "event=node_unregistered node=%s why=\"%s\"", r->node,
			 e.text);
}

/* Whether the peer reports that it does not reach the store. */
static bool peer_reports_lost(struct peer *p, seam_time deadline)
{
	struct seam_rest_request c = {
		.method = "GET", .path = "/v1/state", .deadline = deadline};
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_rest_response a;
	bool lost;

	if (seam_rest_do(p->state, &c, &a, &e))
		return false;
	lost = a.body && strstr(a.body, "\"store\":\"lost\"");
	free(a.body);
	return lost;
}

/*
 * A question to all live peers, of which each thread takes the next.
 *
 * @next: index of the next peer
 * @reached: a peer reaches the store, or has not answered
 */
struct query {
	struct relay *relay;
	seam_time deadline;
	int next;
	bool reached;
};

static void *ask_peers(void *arg)
{
	struct query *q = arg;
	struct relay *r = q->relay;
	int i;

	while (!__atomic_load_n(&q->reached, __ATOMIC_RELAXED) &&
	       (i = __atomic_fetch_add(&q->next, 1, __ATOMIC_RELAXED)) <
		       r->peers)
		if (r->peer[i].live &&
		    !peer_reports_lost(&r->peer[i], q->deadline))
			__atomic_store_n(&q->reached, true, __ATOMIC_RELAXED);
	return NULL;
}

bool seam_store_relay_all_lost(struct seam_store *base, seam_time deadline)
{
	struct relay *r = (struct relay *)base;
	struct query q = {.relay = r, .deadline = deadline};
	pthread_t thread[QUERY_THREADS];
	int n = 0;

	if (!__atomic_load_n(&r->nodes_read, __ATOMIC_ACQUIRE))
		return false;
	while (n < QUERY_THREADS && n < r->peers - 1 &&
	       !pthread_create(&thread[n], NULL, ask_peers, &q))
		n++;
	ask_peers(&q);
	while (n)
		pthread_join(thread[--n], NULL);
	return !q.reached;
}

bool seam_store_relay_has_larger(struct seam_store *base)
{
	struct relay *r = (struct relay *)base;
	bool larger = false;
	int i;

	pthread_mutex_lock(&r->lock);
	for (i = 0; i < r->peers; i++)
		larger = larger ||
			 (r->peer[i].live &&
			  2 * r->peer[i].processor >= 3 * r->processor);
	pthread_mutex_unlock(&r->lock);
	return larger;
}

static gint compare_peers(gconstpointer a, gconstpointer b)
{
	const struct peer *x = *(const struct peer *const *)a;
	const struct peer *y = *(const struct peer *const *)b;

	return is_preferred(y, x) - is_preferred(x, y);
}

size_t seam_store_relay_nodes(struct seam_store *base,
			      struct seam_node_info *info, size_t max)
{
	struct relay *r = (struct relay *)base;
	GPtrArray *list = g_ptr_array_new();
	size_t n;
	int i;

	pthread_mutex_lock(&r->lock);
	for (i = 0; i < r->peers; i++)
		g_ptr_array_add(list, &r->peer[i]);
	/* Those that serve most workers, if not all fit. */
	g_ptr_array_sort(list, compare_peers);
	for (n = 0; n < list->len && n < max; n++) {
		const struct peer *p = g_ptr_array_index(list, n);

		memset(&info[n], 0, sizeof(info[n]));
		snprintf(info[n].addr, sizeof(info[n].addr), "%s", p->addr);
		snprintf(info[n].dc, sizeof(info[n].dc), "%s", p->dc);
		info[n].processor = p->processor;
		info[n].live = p->live;
	}
	pthread_mutex_unlock(&r->lock);
	g_ptr_array_free(list, TRUE);
	return n;
}
