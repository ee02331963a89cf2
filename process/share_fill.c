#include "process/share_impl.h"

#include <stdlib.h>
#include <string.h>

/* Products of fractions can be just below the integer that is meant. */
#define ROUNDING_MARGIN 1e-6

/* Smaller rates are rounding errors: differences of sums leave a remainder. */
#define MIN_GROWTH_RATE 1e-9

/* State of a team or workspace. At level L its dominant share is L * weight,
 * but at most its demand. */
struct fill_entry {
	struct seam_share_entity *entity;
	double demand_share; /* dominant share of the demand */
	double demand_level; /* at which the demand is met */
	bool frozen;
};

struct water_fill {
	struct fill_entry *entries;
	size_t n;
	double rate[SEAM_RESOURCES]; /* consumed per unit of level */
	double left[SEAM_RESOURCES]; /* still available */
	double level;
};

double seam_share_dominant(const struct seam_resources *a,
			   const struct seam_resources *capacity)
{
	double largest = 0;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++) {
		double fraction = 0;

		if (capacity->of[r] > 0)
			fraction = (double)a->of[r] / (double)capacity->of[r];
		else if (a->of[r] > 0)
			fraction = 1;
		largest = fraction > largest ? fraction : largest;
	}
	return largest;
}

static double growth_rate(const struct fill_entry *p, int r)
{
	if (p->demand_share <= 0)
		return 0;
	return p->entity->weight / p->demand_share *
	       (double)p->entity->demand.of[r];
}

static void freeze(struct water_fill *f, struct fill_entry *p)
{
	double share = f->level * p->entity->weight;
	double fraction;
	int r;

	p->frozen = true;
	if (share > p->demand_share)
		share = p->demand_share;
	fraction = p->demand_share > 0 ? share / p->demand_share : 0;
	for (r = 0; r < SEAM_RESOURCES; r++) {
		f->rate[r] -= growth_rate(p, r);
		p->entity->entitled.of[r] =
			(int64_t)(fraction * (double)p->entity->demand.of[r] +
				  ROUNDING_MARGIN);
	}
	p->entity->entitled_share = share;
}

static void raise_level(struct water_fill *f, double level)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		f->left[r] -= (level - f->level) * f->rate[r];
	f->level = level;
}

/* Lowest level at which a resource is used up; -1 if none is. */
static double next_scarce_level(const struct water_fill *f, int *resource)
{
	double lowest = -1;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++) {
		double level;

		if (f->rate[r] < MIN_GROWTH_RATE)
			continue;
		level = f->level +
			(f->left[r] > 0 ? f->left[r] / f->rate[r] : 0);
		if (lowest < 0 || level < lowest) {
			lowest = level;
			*resource = r;
		}
	}
	return lowest;
}

static void freeze_users(struct water_fill *f, int r)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		if (!f->entries[i].frozen &&
		    f->entries[i].entity->demand.of[r] > 0)
			freeze(f, &f->entries[i]);
	f->rate[r] = 0;
}

static int compare_demand_levels(const void *a, const void *b)
{
	double x = ((const struct fill_entry *)a)->demand_level;
	double y = ((const struct fill_entry *)b)->demand_level;

	return (x > y) - (x < y);
}

static void fill(struct water_fill *f)
{
	size_t i = 0;
	int r = 0;

	while (i < f->n) {
		struct fill_entry *p = &f->entries[i];
		double scarce_level;

		if (p->frozen) {
			i++;
			continue;
		}
		scarce_level = next_scarce_level(f, &r);
		if (scarce_level >= 0 && scarce_level < p->demand_level) {
			raise_level(f, scarce_level);
			freeze_users(f, r);
		} else {
			raise_level(f, p->demand_level);
			freeze(f, p);
		}
	}
}

void seam_share_fill(struct seam_share_entity **entity, size_t n,
		     const struct seam_resources *available,
		     const struct seam_resources *capacity)
{
	struct water_fill f = {.n = n};
	size_t i;
	int r;

	f.entries = calloc(n + 1, sizeof(*f.entries));
	if (!f.entries)
		return;
	for (i = 0; i < n; i++) {
		struct fill_entry *p = &f.entries[i];

		p->entity = entity[i];
		p->demand_share =
			seam_share_dominant(&entity[i]->demand, capacity);
		p->demand_level = p->demand_share / entity[i]->weight;
		for (r = 0; r < SEAM_RESOURCES; r++)
			f.rate[r] += growth_rate(p, r);
	}
	for (r = 0; r < SEAM_RESOURCES; r++)
		f.left[r] = (double)available->of[r];
	qsort(f.entries, n, sizeof(*f.entries), compare_demand_levels);
	fill(&f);
	free(f.entries);
}
