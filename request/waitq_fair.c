#include "request/waitq.h"

#include <glib.h>
#include <stdlib.h>

#define COST 1000000000ll /* of one request, in units of tags */
#define SMOOTH 8 /* an eighth of each new value goes into a mean */

struct seam_fair {
	GSequence *order; /* struct seam_waiter by start tag */
	GHashTable *finish; /* team to its last finish tag */
	int64_t virtual_time;
	int max;
	seam_time served_at; /* last turn; 0 after the queue was empty */
	seam_time gap; /* mean time between two turns */
	seam_time run; /* mean time of a request */
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
	w->finish = w->start + COST / (w->share > 0 ? w->share : 1);
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
	/* The estimates may be old: whoever finds no queue may always wait. */
	if (!count)
		return 0;
	if (count >= f->max && last_waiter(f)->start <= w->start)
		return seam_fail(e, SEAM_BUSY, "%d requests are waiting",
				 count);
	at = g_sequence_search(f->order, w, by_start, NULL);
	ahead = g_sequence_iter_get_position(at);
	if (now + (ahead + 1) * f->gap + f->run <= w->deadline)
		return 0;
	return seam_fail(e, SEAM_BUSY,
			 "%d requests are ahead, no turn before the deadline",
			 ahead);
}

int seam_fair_add(struct seam_fair *f, struct seam_waiter *w, seam_time now,
		  struct seam_waiter **out, struct seam_err *e)
{
	int64_t *finish;

	*out = NULL;
	if (seam_fair_check(f, w, now, e))
		return -1;
	if (seam_fair_count(f) >= f->max) {
		*out = last_waiter(f);
		(*out)->shed = true;
		seam_fair_drop(f, *out);
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

static void take_out(struct seam_fair *f, struct seam_waiter *w)
{
	g_sequence_remove(w->at);
	w->at = NULL;
	if (!g_sequence_is_empty(f->order))
		return;
	f->virtual_time = 0;
	f->served_at = 0;
	g_hash_table_remove_all(f->finish);
}

static void mean(seam_time *m, seam_time value)
{
	*m = *m ? *m + (value - *m) / SMOOTH : value;
}

void seam_fair_served(struct seam_fair *f, struct seam_waiter *w, seam_time now)
{
	if (f->served_at)
		mean(&f->gap, now - f->served_at);
	f->served_at = now;
	f->virtual_time = w->start;
	take_out(f, w);
}

void seam_fair_drop(struct seam_fair *f, struct seam_waiter *w)
{
	int64_t *last = g_hash_table_lookup(f->finish, w->team);

	/* A team does not pay for a request that got no slot. */
	if (last && *last == w->finish)
		*last = w->start;
	take_out(f, w);
}

void seam_fair_ran(struct seam_fair *f, seam_time length)
{
	mean(&f->run, length);
}
