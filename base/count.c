#include "base/count.h"

#include <string.h>

static struct seam_count *first;

static void enlist(struct seam_count *c)
{
	int no = 0;
	struct seam_count *head;

	if (__atomic_load_n(&c->registered, __ATOMIC_ACQUIRE))
		return;
	if (!__atomic_compare_exchange_n(&c->registered, &no, 1, 0,
					 __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE))
		return;
	head = __atomic_load_n(&first, __ATOMIC_ACQUIRE);
	do {
		c->next = head;
	} while (!__atomic_compare_exchange_n(
		&first, &head, c, 0, __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE));
}

void seam_count_add(struct seam_count *c, int64_t n)
{
	enlist(c);
	__atomic_fetch_add(&c->value, n, __ATOMIC_RELAXED);
}

void seam_count_set(struct seam_count *c, int64_t v)
{
	enlist(c);
	__atomic_store_n(&c->value, v, __ATOMIC_RELAXED);
}

int64_t seam_count_get(struct seam_count *c)
{
	return __atomic_load_n(&c->value, __ATOMIC_RELAXED);
}

static int is_total(const char *name)
{
	size_t n = strlen(name);

	return n > 6 && !strcmp(name + n - 6, "_total");
}

void seam_count_write(FILE *f)
{
	struct seam_count *c;

	for (c = __atomic_load_n(&first, __ATOMIC_ACQUIRE); c; c = c->next) {
		fprintf(f, "# HELP %s %s\n# TYPE %s %s\n", c->name, c->help,
			c->name, is_total(c->name) ? "counter" : "gauge");
		fprintf(f, "%s%s%s%s %lld\n", c->name, *c->labels ? "{" : "",
			c->labels, *c->labels ? "}" : "",
			(long long)seam_count_get(c));
	}
}
