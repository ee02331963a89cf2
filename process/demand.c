#include "process/demand.h"

#include <glib.h>
#include <pthread.h>

struct entry {
	char pool[64];
	char source[64];
	struct seam_demand_report report;
};

struct seam_demand {
	pthread_mutex_t lock;
	GArray *entries;
};

struct seam_demand *seam_demand_new(void)
{
	struct seam_demand *d = g_new0(struct seam_demand, 1);

	pthread_mutex_init(&d->lock, NULL);
	d->entries = g_array_new(FALSE, TRUE, sizeof(struct entry));
	return d;
}

void seam_demand_free(struct seam_demand *d)
{
	if (!d)
		return;
	g_array_free(d->entries, TRUE);
	pthread_mutex_destroy(&d->lock);
	g_free(d);
}

static struct entry *find(struct seam_demand *d, const char *pool,
			  const char *source)
{
	guint i;

	for (i = 0; i < d->entries->len; i++) {
		struct entry *t = &g_array_index(d->entries, struct entry, i);

		if (!g_strcmp0(t->pool, pool) && !g_strcmp0(t->source, source))
			return t;
	}
	return NULL;
}

void seam_demand_set(struct seam_demand *d, const char *pool,
		     const char *source, const struct seam_demand_report *r)
{
	struct entry updated = {.report = *r};
	struct entry *t;

	g_strlcpy(updated.pool, pool, sizeof(updated.pool));
	g_strlcpy(updated.source, source, sizeof(updated.source));
	if (updated.report.per_vm < 1)
		updated.report.per_vm = 1;
	pthread_mutex_lock(&d->lock);
	t = find(d, updated.pool, updated.source);
	if (t)
		*t = updated;
	else
		g_array_append_val(d->entries, updated);
	pthread_mutex_unlock(&d->lock);
}

bool seam_demand_vms(struct seam_demand *d, const char *pool, seam_time now,
		     double *vms)
{
	bool any = false;
	guint i = 0;

	*vms = 0;
	pthread_mutex_lock(&d->lock);
	while (i < d->entries->len) {
		struct entry *t = &g_array_index(d->entries, struct entry, i);

		if (t->report.valid_until < now) {
			g_array_remove_index_fast(d->entries, i);
			continue;
		}
		if (!g_strcmp0(t->pool, pool)) {
			*vms += (double)(t->report.busy + t->report.waiting) /
				(double)t->report.per_vm;
			any = true;
		}
		i++;
	}
	pthread_mutex_unlock(&d->lock);
	return any;
}
