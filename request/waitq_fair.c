#include "request/waitq.h"

#include <glib.h>
#include <stdlib.h>

#define REQUEST_COST 1000000000ll /* in units of the tags, at a share of 1 */
#define MEAN_DIVISOR 8 /* exponential mean: weight of a new value is 1/8 */

struct seam_fair {
	GSequence *order; /* struct seam_waiter, by start tag */
	GHashTable *finish; /* team name to its last finish tag */
	int64_t virtual_time;
	int max;
	seam_time served_at; /* last slot given; 0 after an empty queue */
	seam_time mean_gap; /* between two slots given */
	seam_time mean_run; /* run time of a request */
};

struct seam_fair *seam_fair_new(int max)
{
	struct seam_fair *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->order = g_sequence_new(NULL);
	f->finish =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->max = max;
	return f;
}

void seam_fair_free(struct seam_fair *f)
{
	if (!f)
		return;
	g_sequence_free(f->order);
	g_hash_table_destroy(f->finish);
	free(f);
}

static gint by_start(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct seam_waiter *x = a;
	const struct seam_waiter *y = b;

	(void)user;
	return (x->start > y->start) - (x->start < y->start);
}

static void set_tags(struct seam_fair *f, struct seam_waiter *w)
{
	const int64_t *last = g_hash_table_lookup(f->finish, w->team);

	w->start = f->virtual_time;
	if (last && *last > w->start)
		w->start = *last;
	w->finish = w->start + REQUEST_COST / (w->share > 0 ? w->share : 1);
}

static struct seam_waiter *last_waiter(struct seam_fair *f)
{
	return g_sequence_get(
		g_sequence_iter_prev(g_sequence_get_end_iter(f->order)));
}

int seam_fair_count(struct seam_fair *f)
{
	return g_sequence_get_length(f->order);
}

int seam_fair_check(struct seam_fair *f, struct seam_waiter *w, seam_time now,
		    struct seam_err *e)
{
	int count = seam_fair_count(f);
	GSequenceIter *at;
	int ahead;

	set_tags(f, w);
	/* The means may be out of date: an empty queue accepts any waiter. */
	if (!count)
		return 0;
	if (count >= f->max && last_waiter(f)->start <= w->start)
		return seam_fail(e, SEAM_BUSY,
				 "queue is full, %d requests are waiting",
				 count);
	at = g_sequence_search(f->order, w, by_start, NULL);
	ahead = g_sequence_iter_get_position(at);
	if (now + (ahead + 1) * f->mean_gap + f->mean_run <= w->deadline)
		return 0;
	return seam_fail(e, SEAM_BUSY,
			 "%d requests are ahead, no slot expected before the "
			 "deadline",
			 ahead);
}

int seam_fair_add(struct seam_fair *f, struct seam_waiter *w, seam_time now,
		  struct seam_waiter **displaced, struct seam_err *e)
{
	int64_t *finish;

	*displaced = NULL;
	if (seam_fair_check(f, w, now, e))
		return -1;
	if (seam_fair_count(f) >= f->max) {
		*displaced = last_waiter(f);
		(*displaced)->shed = true;
		seam_fair_drop(f, *displaced);
	}
	finish = g_new(int64_t, 1);
	*finish = w->finish;
	g_hash_table_replace(f->finish, g_strdup(w->team), finish);
	w->at = g_sequence_insert_sorted(f->order, w, by_start, NULL);
	w->shed = false;
	return 0;
}

struct seam_waiter *seam_fair_first(struct seam_fair *f)
{
	if (g_sequence_is_empty(f->order))
		return NULL;
	return g_sequence_get(g_sequence_get_begin_iter(f->order));
}

static void remove_waiter(struct seam_fair *f, struct seam_waiter *w)
{
	g_sequence_remove(w->at);
	w->at = NULL;
	if (!g_sequence_is_empty(f->order))
		return;
	f->virtual_time = 0;
	f->served_at = 0;
	g_hash_table_remove_all(f->finish);
}

static void update_mean(seam_time *m, seam_time value)
{
	*m = *m ? *m + (value - *m) / MEAN_DIVISOR : value;
}

void seam_fair_served(struct seam_fair *f, struct seam_waiter *w, seam_time now)
{
	if (f->served_at)
		update_mean(&f->mean_gap, now - f->served_at);
	f->served_at = now;
	f->virtual_time = w->start;
	remove_waiter(f, w);
}

void seam_fair_drop(struct seam_fair *f, struct seam_waiter *w)
{
	int64_t *last = g_hash_table_lookup(f->finish, w->team);

	/* A request that got no slot is not charged to its team. */
	if (last && *last == w->finish)
		*last = w->start;
	remove_waiter(f, w);
}

void seam_fair_add_run_time(struct seam_fair *f, seam_time length)
{
	update_mean(&f->mean_run, length);
}
