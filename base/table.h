#ifndef SEAM_TABLE_H
#define SEAM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_handle - reference to an entry of a table
 * @bits: index in the low 20 bits, generation in the high 12; 0 is no entry
 *
 * Generations start at 1 and skip 0 when they wrap, so no valid handle is 0.
 */
struct seam_handle {
	uint32_t bits;
};

#define SEAM_HANDLE_NONE ((struct seam_handle){0})
#define SEAM_TABLE_ENTRIES_MAX (1u << 20)

/**
 * struct seam_table - entries of the same size, accessed through handles
 *
 * Not thread-safe: the caller provides the locking. Entries are stored in
 * chunks and do not move while they are in use. Freed slots are reused in FIFO
 * order, so that the generation of a slot wraps as late as possible.
 */
struct seam_table;

/** seam_table_new() - table of entries of @size bytes; NULL if out of memory */
struct seam_table *seam_table_new(size_t size);

/** seam_table_free() - free the table and all entries */
void seam_table_free(struct seam_table *t);

/**
 * seam_table_add() - allocate a zeroed entry
 * @t: table
 * @h: receives the handle
 *
 * Return: the entry, or NULL if the table is full or out of memory.
 */
void *seam_table_add(struct seam_table *t, struct seam_handle *h);

/** seam_table_get() - entry of @h; NULL if it is stale or SEAM_HANDLE_NONE */
void *seam_table_get(const struct seam_table *t, struct seam_handle h);

/** seam_table_del() - free the entry of @h; false if @h is stale */
bool seam_table_del(struct seam_table *t, struct seam_handle h);

/** seam_table_count() - number of entries in use */
size_t seam_table_count(const struct seam_table *t);

/**
 * seam_table_next() - iterate over the entries in index order
 * @t: table
 * @h: previous handle, SEAM_HANDLE_NONE to start; receives the next handle
 *
 * Return: the entry, or NULL at the end. The current entry may be deleted
 * between calls.
 */
void *seam_table_next(const struct seam_table *t, struct seam_handle *h);

static inline bool seam_handle_eq(struct seam_handle a, struct seam_handle b)
{
	return a.bits == b.bits;
}

#ifdef __cplusplus
}
#endif
#endif
