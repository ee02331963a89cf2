#include "process/share_impl.h"

#include <stdlib.h>
#include <string.h>

/* Products of fractions fall just below the whole number that they mean. */
#define ROUNDING 1e-6

/* One sharer during the filling. At level L it has L * weight of dominant
 * share, at most its demand. */
struct part {
	struct seam_sharer *sharer;
	double want; /* dominant share of its demand */
	double full; /* level at which the demand is met */
	bool fixed;
};

struct filling {
	struct part *part;
	size_t n;
	double rate[SEAM_RESOURCES]; /* growth with the level */
	double left[SEAM_RESOURCES];
	double level;
};

double seam_share_dominant(const struct seam_amount *a,
			   const struct seam_amount *all)
{
	double most = 0;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++) {
		double part = 0;

		if (all->of[r] > 0)
			part = (double)a->of[r] / (double)all->of[r];
		else if (a->of[r] > 0)
			part = 1;
		most = part > most ? part : most;
	}
	return most;
}

static double growth(const struct part *p, int r)
{
	if (p->want <= 0)
		return 0;
	return p->sharer->weight / p->want * (double)p->sharer->demand.of[r];
}

static void fix(struct filling *f, struct part *p)
{
	double share = f->level * p->sharer->weight;
	double part;
	int r;

	p->fixed = true;
	if (share > p->want)
		share = p->want;
	part = p->want > 0 ? share / p->want : 0;
	for (r = 0; r < SEAM_RESOURCES; r++) {
		f->rate[r] -= growth(p, r);
		p->sharer->entitled.of[r] =
			(int64_t)(part * (double)p->sharer->demand.of[r] +
				  ROUNDING);
	}
	p->sharer->entitled_share = share;
}

static void rise(struct filling *f, double level)
{
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++)
		f->left[r] -= (level - f->level) * f->rate[r];
	f->level = level;
}

/* Least level at which a resource is used up; -1 for none. */
static double scarce_at(const struct filling *f, int *which)
{
	double least = -1;
	int r;

	for (r = 0; r < SEAM_RESOURCES; r++) {
		double at;

		/* Differences of sums leave a small remainder. */
		if (f->rate[r] < 1e-9)
			continue;
		at = f->level + (f->left[r] > 0 ? f->left[r] / f->rate[r] : 0);
		if (least < 0 || at < least) {
			least = at;
			*which = r;
		}
	}
	return least;
}

static void fix_users(struct filling *f, int r)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		if (!f->part[i].fixed && f->part[i].sharer->demand.of[r] > 0)
			fix(f, &f->part[i]);
	f->rate[r] = 0;
}

static int compare(const void *a, const void *b)
{
	double x = ((const struct part *)a)->full;
	double y = ((const struct part *)b)->full;

	return (x > y) - (x < y);
}

static void fill(struct filling *f)
{
	size_t i = 0;
	int r = 0;

	while (i < f->n) {
		struct part *p = &f->part[i];
		double scarce;

		if (p->fixed) {
			i++;
			continue;
		}
		scarce = scarce_at(f, &r);
		if (scarce >= 0 && scarce < p->full) {
			rise(f, scarce);
			fix_users(f, r);
		} else {
			rise(f, p->full);
			fix(f, p);
		}
	}
}

void seam_share_fill(struct seam_sharer **sharer, size_t n,
		     const struct seam_amount *room,
		     const struct seam_amount *all)
{
	struct filling f = {.n = n};
	size_t i;
	int r;

	f.part = calloc(n + 1, sizeof(*f.part));
	if (!f.part)
		return;
	for (i = 0; i < n; i++) {
		struct part *p = &f.part[i];

		p->sharer = sharer[i];
		p->want = seam_share_dominant(&sharer[i]->demand, all);
		p->full = p->want / sharer[i]->weight;
		for (r = 0; r < SEAM_RESOURCES; r++)
			f.rate[r] += growth(p, r);
	}
	for (r = 0; r < SEAM_RESOURCES; r++)
		f.left[r] = (double)room->of[r];
	qsort(f.part, n, sizeof(*f.part), compare);
	fill(&f);
	free(f.part);
}
