#include "base/table.h"

#include <stdlib.h>
#include <string.h>

#define INDEX_BITS 20
#define INDEX_MASK ((1u << INDEX_BITS) - 1)
#define GEN_MASK 0xfffu
#define CHUNK_BITS 8
#define CHUNK_SLOTS (1u << CHUNK_BITS)
#define NO_SLOT UINT32_MAX

struct slot {
	uint32_t next_free;
	uint16_t gen;
	bool used;
};

struct seam_table {
	size_t size;
	size_t count;
	uint32_t slots;
	uint32_t free_head;
	uint32_t free_tail;
	struct slot *slot;
	char **chunk;
};

struct seam_table *seam_table_new(size_t size)
{
	struct seam_table *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->size = (size + 15) & ~(size_t)15;
	t->free_head = NO_SLOT;
	t->free_tail = NO_SLOT;
	return t;
}

void seam_table_free(struct seam_table *t)
{
	uint32_t i;

	if (!t)
		return;
	for (i = 0; i < t->slots / CHUNK_SLOTS; i++)
		free(t->chunk[i]);
	free(t->chunk);
	free(t->slot);
	free(t);
}

static void *entry(const struct seam_table *t, uint32_t i)
{
	char *c = t->chunk[i >> CHUNK_BITS];

	return c + (i & (CHUNK_SLOTS - 1)) * t->size;
}

static void push_free(struct seam_table *t, uint32_t i)
{
	t->slot[i].next_free = NO_SLOT;
	if (t->free_tail == NO_SLOT)
		t->free_head = i;
	else
		t->slot[t->free_tail].next_free = i;
	t->free_tail = i;
}

static bool grow(struct seam_table *t)
{
	uint32_t n = t->slots + CHUNK_SLOTS;
	uint32_t i;
	struct slot *s;
	char **c;
	char *mem;

	if (n > SEAM_TABLE_ENTRIES_MAX)
		return false;
	s = realloc(t->slot, n * sizeof(*s));
	if (!s)
		return false;
	t->slot = s;
	c = realloc(t->chunk, (n / CHUNK_SLOTS) * sizeof(*c));
	if (!c)
		return false;
	t->chunk = c;
	mem = malloc(t->size * CHUNK_SLOTS);
	if (!mem)
		return false;
	t->chunk[t->slots / CHUNK_SLOTS] = mem;
	for (i = t->slots; i < n; i++) {
		t->slot[i].gen = 1;
		t->slot[i].used = false;
		push_free(t, i);
	}
	t->slots = n;
	return true;
}

void *seam_table_add(struct seam_table *t, struct seam_handle *h)
{
	uint32_t i;
	void *p;

	if (t->free_head == NO_SLOT && !grow(t))
		return NULL;
	i = t->free_head;
	t->free_head = t->slot[i].next_free;
	if (t->free_head == NO_SLOT)
		t->free_tail = NO_SLOT;
	t->slot[i].used = true;
	t->count++;
	h->bits = (uint32_t)t->slot[i].gen << INDEX_BITS | i;
	p = entry(t, i);
	memset(p, 0, t->size);
	return p;
}

void *seam_table_get(const struct seam_table *t, struct seam_handle h)
{
	uint32_t i = h.bits & INDEX_MASK;

	if (!h.bits || i >= t->slots || !t->slot[i].used)
		return NULL;
	if (t->slot[i].gen != h.bits >> INDEX_BITS)
		return NULL;
	return entry(t, i);
}

bool seam_table_del(struct seam_table *t, struct seam_handle h)
{
	uint32_t i = h.bits & INDEX_MASK;
	struct slot *s;

	if (!seam_table_get(t, h))
		return false;
	s = &t->slot[i];
	s->used = false;
	s->gen = (s->gen + 1) & GEN_MASK;
	if (!s->gen)
		s->gen = 1;
	push_free(t, i);
	t->count--;
	return true;
}

size_t seam_table_count(const struct seam_table *t)
{
	return t->count;
}

void *seam_table_next(const struct seam_table *t, struct seam_handle *h)
{
	uint32_t i = h->bits ? (h->bits & INDEX_MASK) + 1 : 0;

	for (; i < t->slots; i++) {
		if (!t->slot[i].used)
			continue;
		h->bits = (uint32_t)t->slot[i].gen << INDEX_BITS | i;
		return entry(t, i);
	}
	*h = SEAM_HANDLE_NONE;
	return NULL;
}
