#include "process/size.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BINS 200
#define BIN_BASE 1.1 /* widest error of a quantile: a tenth */
#define SAMPLES_MIN 5
#define HALF_LIFE (6.0 * 3600 * SEAM_SEC)
#define QUANTILE 0.9
#define DECLARED_FACTOR 4
#define RUN_UNIT (10 * SEAM_MSEC)

/* Decayed histogram with bins of equal ratio. */
struct hist {
	float bin[BINS];
};

struct learned {
	struct hist cpu;
	struct hist mem;
	struct hist run;
	double weight;
	seam_time at;
};

struct seam_sizes {
	GHashTable *by_kind; /* "TEAM/KIND" to struct learned */
};

struct seam_sizes *seam_sizes_new(void)
{
	struct seam_sizes *s = calloc(1, sizeof(*s));

	if (s)
		s->by_kind = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, free);
	return s;
}

void seam_sizes_free(struct seam_sizes *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->by_kind);
	free(s);
}

static int bin_of(int64_t v)
{
	int b;

	if (v <= 1)
		return 0;
	b = (int)ceil(log((double)v) / log(BIN_BASE) - 1e-9);
	return b < BINS ? b : BINS - 1;
}

static void scale(struct hist *h, float by)
{
	int i;

	for (i = 0; i < BINS; i++)
		h->bin[i] *= by;
}

static void decay(struct learned *l, seam_time now)
{
	double by = now > l->at ? exp2(-(double)(now - l->at) / HALF_LIFE) : 1;

	l->at = now > l->at ? now : l->at;
	l->weight *= by;
	scale(&l->cpu, (float)by);
	scale(&l->mem, (float)by);
	scale(&l->run, (float)by);
}

static int64_t quantile(const struct hist *h)
{
	double total = 0;
	double sum = 0;
	int i;

	for (i = 0; i < BINS; i++)
		total += h->bin[i];
	for (i = 0; i < BINS - 1; i++) {
		sum += h->bin[i];
		if (sum >= total * QUANTILE)
			break;
	}
	return (int64_t)ceil(pow(BIN_BASE, i));
}

static struct learned *find(const struct seam_sizes *s, const char *team,
			    const char *kind)
{
	char key[160];

	snprintf(key, sizeof(key), "%s/%s", team, kind);
	return g_hash_table_lookup(s->by_kind, key);
}

void seam_sizes_add(struct seam_sizes *s, const char *team, const char *kind,
		    const struct seam_need *peak, seam_time run, seam_time now)
{
	struct learned *l = find(s, team, kind);

	if (!l) {
		l = calloc(1, sizeof(*l));
		if (!l)
			return;
		l->at = now;
		g_hash_table_insert(s->by_kind,
				    g_strdup_printf("%s/%s", team, kind), l);
	}
	decay(l, now);
	l->cpu.bin[bin_of(peak->cpu)]++;
	l->mem.bin[bin_of(peak->mem)]++;
	l->run.bin[bin_of(run / RUN_UNIT)]++;
	l->weight++;
}

static int64_t bounded(int64_t learned, int64_t reported, int64_t declared)
{
	int64_t v = learned > reported ? learned : reported;

	if (declared > 0 && v > declared * DECLARED_FACTOR)
		v = declared * DECLARED_FACTOR;
	return v;
}

struct seam_need seam_sizes_reserve(const struct seam_sizes *s,
				    const char *team, const char *kind,
				    const struct seam_need *declared,
				    const struct seam_need *reported)
{
	const struct learned *l = find(s, team, kind);
	struct seam_need n = *declared;

	if (l && l->weight >= SAMPLES_MIN) {
		n.cpu = quantile(&l->cpu);
		n.mem = quantile(&l->mem);
	}
	n.cpu = bounded(n.cpu, reported->cpu, declared->cpu);
	n.mem = bounded(n.mem, reported->mem, declared->mem);
	return n;
}

seam_time seam_sizes_run(const struct seam_sizes *s, const char *team,
			 const char *kind)
{
	const struct learned *l = find(s, team, kind);

	return l && l->weight >= SAMPLES_MIN ? quantile(&l->run) * RUN_UNIT : 0;
}
