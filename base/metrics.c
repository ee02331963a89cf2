#include "base/metrics.h"

#include <string.h>

static struct seam_metric *registered_head;

static void register_metric(struct seam_metric *c)
{
	int unregistered = 0;
	struct seam_metric *head;

	if (__atomic_load_n(&c->registered, __ATOMIC_ACQUIRE))
		return;
	if (!__atomic_compare_exchange_n(&c->registered, &unregistered, 1, 0,
					 __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE))
		return;
	head = __atomic_load_n(&registered_head, __ATOMIC_ACQUIRE);
	do {
		c->next = head;
	} while (!__atomic_compare_exchange_n(&registered_head, &head, c, 0,
					      __ATOMIC_ACQ_REL,
					      __ATOMIC_ACQUIRE));
}

void seam_metric_add(struct seam_metric *c, int64_t n)
{
	register_metric(c);
	__atomic_fetch_add(&c->value, n, __ATOMIC_RELAXED);
}

void seam_metric_set(struct seam_metric *c, int64_t v)
{
	register_metric(c);
	__atomic_store_n(&c->value, v, __ATOMIC_RELAXED);
}

int64_t seam_metric_get(struct seam_metric *c)
{
	return __atomic_load_n(&c->value, __ATOMIC_RELAXED);
}

static int is_counter(const char *name)
{
	size_t n = strlen(name);

	return n > 6 && !strcmp(name + n - 6, "_total");
}

void seam_metrics_write(FILE *f)
{
	struct seam_metric *c;

	for (c = __atomic_load_n(&registered_head, __ATOMIC_ACQUIRE); c;
	     c = c->next) {
		fprintf(f, "# HELP %s %s\n# TYPE %s %s\n", c->name, c->help,
			c->name, is_counter(c->name) ? "counter" : "gauge");
		fprintf(f, "%s%s%s%s %lld\n", c->name, *c->labels ? "{" : "",
			c->labels, *c->labels ? "}" : "",
			(long long)seam_metric_get(c));
	}
}
