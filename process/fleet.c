#include "process/fleet.h"

#include <pthread.h>
#include <stdbool.h>
#include <string.h>

struct seam_fleet {
	pthread_mutex_t lock;
	struct seam_fleet_vm *vm;
	size_t n;
	seam_time as_of;
	uint64_t changes;
};

struct seam_fleet *seam_fleet_new(void)
{
	struct seam_fleet *f = calloc(1, sizeof(*f));

	if (f)
		pthread_mutex_init(&f->lock, NULL);
	return f;
}

void seam_fleet_free(struct seam_fleet *f)
{
	if (!f)
		return;
	pthread_mutex_destroy(&f->lock);
	free(f->vm);
	free(f);
}

/* Takes the time over if the content is the same. */
static bool same(struct seam_fleet *f, const struct seam_fleet_vm *vm, size_t n,
		 seam_time as_of)
{
	bool equal;

	pthread_mutex_lock(&f->lock);
	equal = n == f->n && n && !memcmp(vm, f->vm, n * sizeof(*vm));
	if (equal)
		f->as_of = as_of;
	pthread_mutex_unlock(&f->lock);
	return equal;
}

void seam_fleet_set(struct seam_fleet *f, const struct seam_fleet_vm *vm,
		    size_t n, seam_time as_of)
{
	struct seam_fleet_vm *copy;
	struct seam_fleet_vm *old;

	if (same(f, vm, n, as_of))
		return;
	copy = calloc(n + 1, sizeof(*copy));
	if (!copy)
		return;
	if (n)
		memcpy(copy, vm, n * sizeof(*copy));
	pthread_mutex_lock(&f->lock);
	old = f->vm;
	f->vm = copy;
	f->n = n;
	f->as_of = as_of;
	f->changes++;
	pthread_mutex_unlock(&f->lock);
	free(old);
}

uint64_t seam_fleet_changes(struct seam_fleet *f, seam_time *as_of)
{
	uint64_t n;

	pthread_mutex_lock(&f->lock);
	*as_of = f->as_of;
	n = f->changes;
	pthread_mutex_unlock(&f->lock);
	return n;
}

struct seam_fleet_vm *seam_fleet_copy(struct seam_fleet *f, const char *pool,
				      size_t *n, seam_time *as_of)
{
	struct seam_fleet_vm *out;
	size_t i;

	*n = 0;
	pthread_mutex_lock(&f->lock);
	if (as_of)
		*as_of = f->as_of;
	out = f->n ? malloc(f->n * sizeof(*out)) : NULL;
	for (i = 0; out && i < f->n; i++)
		if (!pool || !strcmp(f->vm[i].vm.pool, pool))
			out[(*n)++] = f->vm[i];
	pthread_mutex_unlock(&f->lock);
	if (!*n) {
		free(out);
		out = NULL;
	}
	return out;
}
