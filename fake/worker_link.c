#include "fake/worker_impl.h"

#include <stdlib.h>
#include <string.h>

#define REPORTS_MAX 512

/* A node's link to the fake workers, by direct calls. */
struct fake_link {
	struct seam_workers workers;
	struct seam_fake_workers *fake;
	GArray *reports;
	GHashTable *pace_by_worker; /* worker to struct seam_listing_schedule */
	seam_time listed_at;
	bool cut;
};

static struct seam_listing_schedule *get_pace(struct fake_link *l,
					      const char *id)
{
	struct seam_listing_schedule *p =
		g_hash_table_lookup(l->pace_by_worker, id);

	if (p)
		return p;
	p = g_new0(struct seam_listing_schedule, 1);
	g_hash_table_insert(l->pace_by_worker, g_strdup(id), p);
	return p;
}

static int link_send(struct seam_workers *s, const struct seam_worker_cmd *c,
		     struct seam_err *e)
{
	struct fake_link *l = (struct fake_link *)s;
	seam_time now = seam_now(l->fake->clock);
	struct seam_listing_schedule *p = get_pace(l, c->worker);
	struct seam_worker_report r;

	(void)e;
	seam_listing_schedule_cmd_sent(p, c->cmd_type, now);
	if (l->cut || seam_fake_worker_exec(l->fake, c->worker, c, &r))
		return 0;
	g_array_append_val(l->reports, r);
	if (c->cmd_type == SEAM_CMD_RENEW)
		seam_listing_schedule_reported(p, false, now);
	return 0;
}

/* Lists workers that had a command, at the times of the link over HTTP. */
static void list_due_workers(struct fake_link *l, seam_time now)
{
	GHashTableIter it;
	gpointer id;
	gpointer p;

	g_hash_table_iter_init(&it, l->pace_by_worker);
	while (g_hash_table_iter_next(&it, &id, &p)) {
		if (now < seam_listing_schedule_next(p, now))
			continue;
		seam_fake_worker_list(l->fake, id, l->reports);
		seam_listing_schedule_reported(p, true, now);
	}
}

static size_t link_poll(struct seam_workers *s, const char *prefix,
			struct seam_worker_report *out, size_t max)
{
	struct fake_link *l = (struct fake_link *)s;
	seam_time now = seam_now(l->fake->clock);
	size_t len = strlen(prefix);
	size_t n = 0;
	guint i = 0;

	seam_fake_workers_tick(l->fake, now);
	if (!l->cut && now > l->listed_at) {
		/* Reports for buckets that this node lost are not polled. */
		if (l->reports->len > REPORTS_MAX)
			g_array_remove_range(l->reports, 0,
					     l->reports->len - REPORTS_MAX);
		list_due_workers(l, now);
		l->listed_at = now;
	}
	while (i < l->reports->len && n < max) {
		struct seam_worker_report *r = &g_array_index(
			l->reports, struct seam_worker_report, i);

		if (strncmp(r->task, prefix, len)) {
			i++;
			continue;
		}
		out[n++] = *r;
		g_array_remove_index(l->reports, i);
	}
	return n;
}

static void link_free(struct seam_workers *s)
{
	struct fake_link *l = (struct fake_link *)s;

	g_array_free(l->reports, TRUE);
	g_hash_table_destroy(l->pace_by_worker);
	free(l);
}

static const struct seam_worker_ops link_ops = {
	.send = link_send,
	.poll = link_poll,
	.free = link_free,
};

struct seam_workers *seam_fake_link_new(struct seam_fake_workers *f)
{
	struct fake_link *l = calloc(1, sizeof(*l));

	l->workers.ops = &link_ops;
	l->fake = f;
	l->pace_by_worker =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->reports =
		g_array_new(FALSE, FALSE, sizeof(struct seam_worker_report));
	return &l->workers;
}

void seam_fake_link_set_down(struct seam_workers *s, bool cut)
{
	((struct fake_link *)s)->cut = cut;
}
