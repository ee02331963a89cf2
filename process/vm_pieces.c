#include "process/vm_pieces.h"
#include "process/fit.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/*
 * VMs with the same room.
 *
 * @free: of each
 * @vms: number of them
 * @held: index of the first entry of a VM with fixed tasks of limited steps
 * @helds: number of entries; 0 if there are several VMs
 * @fixed: they have fixed tasks
 * @used: they got a task
 */
struct space {
	struct seam_resources free;
	int64_t vms;
	size_t held;
	size_t helds;
	bool fixed;
	bool used;
};

/* A packing in progress; @space is in the order of the first fit. */
struct packing {
	const struct seam_vm_pool *pool;
	struct space *space;
	size_t spaces;
	int64_t missing;
};

/* A need with its size: the largest share of a VM that it takes. */
struct sized_need {
	struct seam_vm_need need;
	double size;
};

static double share(int64_t need, int64_t all)
{
	return all ? (double)need / (double)all : 0;
}

static double size_of(const struct seam_resources *need,
		      const struct seam_resources *unit)
{
	double cpu = share(need->cpu, unit->cpu);
	double memory = share(need->memory, unit->memory);
	double gpu = share(need->gpu, unit->gpu);

	return MAX(cpu, MAX(memory, gpu));
}

static int compare(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

static int compare_needs(const struct seam_resources *a,
			 const struct seam_resources *b)
{
	int c = compare(b->cpu, a->cpu);

	if (!c)
		c = compare(b->memory, a->memory);
	return c ? c : compare(b->gpu, a->gpu);
}

/* Orders the largest first, and needs of the same size side by side. */
static int compare_sizes(const void *a, const void *b)
{
	const struct sized_need *x = a;
	const struct sized_need *y = b;
	int c;

	if (x->size != y->size)
		return x->size < y->size ? 1 : -1;
	c = compare_needs(&x->need.need, &y->need.need);
	if (!c)
		c = compare(x->need.per_vm, y->need.per_vm);
	if (!c)
		c = (x->need.step > y->need.step) -
		    (x->need.step < y->need.step);
	return c;
}

/* Whether tasks of @a and @b can be packed as those of one need. */
static bool same_size(const struct seam_vm_need *a,
		      const struct seam_vm_need *b)
{
	return !compare_needs(&a->need, &b->need) && a->per_vm == b->per_vm &&
	       a->step == b->step;
}

/* Returns the number of needs that @free holds; @need is not 0. */
static int64_t fitting(const struct seam_resources *need,
		       const struct seam_resources *free)
{
	int64_t n = INT64_MAX;

	if (!seam_fits(need, free))
		return 0;
	if (need->cpu > 0)
		n = MIN(n, free->cpu / need->cpu);
	if (need->memory > 0)
		n = MIN(n, free->memory / need->memory);
	if (need->gpu > 0)
		n = MIN(n, free->gpu / need->gpu);
	return n;
}

/* Returns the number of fixed tasks of @step on the VM of @s. */
static int64_t held_of(const struct packing *p, const struct space *s,
		       uint64_t step)
{
	size_t i;

	for (i = s->held; i < s->held + s->helds; i++)
		if (p->pool->held[i].step == step)
			return p->pool->held[i].count;
	return 0;
}

/* Returns the number of tasks of @g that each VM of @s can take. */
static int64_t room_for(const struct packing *p, const struct space *s,
			const struct seam_vm_need *g)
{
	int64_t n = fitting(&g->need, &s->free);

	if (n && g->per_vm)
		n = MIN(n, g->per_vm - held_of(p, s, g->step));
	return MAX(n, 0);
}

static void take(struct space *s, const struct seam_resources *need, int64_t n)
{
	s->free.cpu -= n * need->cpu;
	s->free.memory -= n * need->memory;
	s->free.gpu -= n * need->gpu;
	s->used = true;
}

/* Splits the space at @i so that its first @vms are one of their own. */
static void split(struct packing *p, size_t i, int64_t vms)
{
	memmove(&p->space[i + 1], &p->space[i],
		(p->spaces - i) * sizeof(*p->space));
	p->spaces++;
	p->space[i].vms = vms;
	p->space[i + 1].vms -= vms;
}

/* Returns the tasks of @g that are left. */
static int64_t fill(struct packing *p, size_t i, const struct seam_vm_need *g,
		    int64_t left)
{
	int64_t each = room_for(p, &p->space[i], g);
	int64_t full;

	if (!each)
		return left;
	full = MIN(left / each, p->space[i].vms);
	if (full) {
		if (full < p->space[i].vms)
			split(p, i, full);
		take(&p->space[i], &g->need, each);
		left -= full * each;
		/* The next space is the rest of this one if tasks are left. */
		return left;
	}
	if (p->space[i].vms > 1)
		split(p, i, 1);
	take(&p->space[i], &g->need, left);
	return 0;
}

static void pack(struct packing *p, const struct seam_vm_need *g)
{
	struct space added = {.free = p->pool->unit};
	int64_t each = room_for(p, &added, g);
	int64_t left = g->count;
	size_t i;

	for (i = 0; i < p->spaces && left; i++)
		left = fill(p, i, g, left);
	if (!left || !each)
		return;
	added.vms = (left + each - 1) / each;
	p->missing += added.vms;
	p->space[p->spaces++] = added;
	for (; i < p->spaces && left; i++)
		left = fill(p, i, g, left);
}

static bool same_room(const struct space *s, const struct space *t)
{
	return s->fixed == t->fixed && !s->helds && !t->helds &&
	       !compare_needs(&s->free, &t->free);
}

static void add_spaces(struct packing *p, bool fixed)
{
	const struct seam_vm_pool *pool = p->pool;
	size_t held = 0;
	size_t i;

	for (i = 0; i < pool->vms; i++) {
		struct space s = {.free = pool->vm[i].free,
				  .vms = 1,
				  .held = held,
				  .fixed = pool->vm[i].fixed};

		while (held < pool->helds && pool->held[held].vm == i)
			held++;
		s.helds = held - s.held;
		if (s.fixed != fixed)
			continue;
		if (p->spaces && same_room(&p->space[p->spaces - 1], &s))
			p->space[p->spaces - 1].vms++;
		else
			p->space[p->spaces++] = s;
	}
}

/* Returns needs in decreasing order, one for each size. */
static struct sized_need *sort_needs(const struct seam_vm_pool *pool,
				     size_t *sizes)
{
	struct sized_need *s = g_new(struct sized_need, pool->needs + 1);
	size_t n = 0;
	size_t i;

	for (i = 0; i < pool->needs; i++) {
		s[n].need = pool->need[i];
		s[n].size = size_of(&s[n].need.need, &pool->unit);
		n += s[n].need.count > 0 && s[n].size > 0;
	}
	qsort(s, n, sizeof(*s), compare_sizes);
	*sizes = 0;
	for (i = 0; i < n; i++)
		if (*sizes && same_size(&s[*sizes - 1].need, &s[i].need))
			s[*sizes - 1].need.count += s[i].need.count;
		else
			s[(*sizes)++] = s[i];
	return s;
}

static int count_needed(const struct packing *p)
{
	int64_t fixed = 0;
	int64_t empty = 0;
	size_t i;

	for (i = 0; i < p->spaces; i++) {
		if (p->space[i].fixed)
			fixed += p->space[i].vms;
		else if (p->space[i].used)
			empty += p->space[i].vms;
	}
	return (int)(empty ? fixed + empty : 0);
}

struct seam_vm_pieces seam_vm_pieces_count(const struct seam_vm_pool *pool)
{
	struct packing p = {.pool = pool};
	struct seam_vm_pieces result;
	struct sized_need *s;
	size_t sizes;
	size_t i;

	s = sort_needs(pool, &sizes);
	sizes = MIN(sizes, SEAM_NEED_SIZES_MAX);
	/* Each size adds one space and splits one twice at most. */
	p.space = g_new(struct space, pool->vms + 3 * sizes + 1);
	add_spaces(&p, true);
	add_spaces(&p, false);
	for (i = 0; i < sizes; i++)
		pack(&p, &s[i].need);
	result.needed = count_needed(&p);
	result.missing = (int)p.missing;
	g_free(p.space);
	g_free(s);
	return result;
}
