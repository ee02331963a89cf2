#include "process/size.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BINS 200
#define BIN_RATIO 1.1 /* limits the error of a quantile to a tenth */
#define SAMPLES_MIN 5
#define HALF_LIFE (6.0 * 3600 * SEAM_SEC)
#define QUANTILE 0.9
#define DECLARED_FACTOR_MAX 4
#define RUN_TIME_UNIT (10 * SEAM_MSEC)

/* Decayed histogram; the bounds of adjacent bins have the ratio BIN_RATIO. */
struct histogram {
	float bin[BINS];
};

struct kind_stats {
	struct histogram cpu;
	struct histogram mem;
	struct histogram run;
	double weight;
	seam_time at;
};

struct seam_sizes {
	GHashTable *by_kind; /* "TEAM/KIND" to struct kind_stats */
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

static int bin_index(int64_t v)
{
	int b;

	if (v <= 1)
		return 0;
	b = (int)ceil(log((double)v) / log(BIN_RATIO) - 1e-9);
	return b < BINS ? b : BINS - 1;
}

static void scale(struct histogram *h, float factor)
{
	int i;

	for (i = 0; i < BINS; i++)
		h->bin[i] *= factor;
}

static void decay(struct kind_stats *l, seam_time now)
{
	double decay_factor =
		now > l->at ? exp2(-(double)(now - l->at) / HALF_LIFE) : 1;

	l->at = now > l->at ? now : l->at;
	l->weight *= decay_factor;
	scale(&l->cpu, (float)decay_factor);
	scale(&l->mem, (float)decay_factor);
	scale(&l->run, (float)decay_factor);
}

static int64_t quantile(const struct histogram *h)
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
	return (int64_t)ceil(pow(BIN_RATIO, i));
}

static struct kind_stats *find(const struct seam_sizes *s, const char *team,
			       const char *kind)
{
	char key[160];

	snprintf(key, sizeof(key), "%s/%s", team, kind);
	return g_hash_table_lookup(s->by_kind, key);
}

void seam_sizes_add(struct seam_sizes *s, const char *team, const char *kind,
		    const struct seam_need *peak, seam_time run, seam_time now)
{
	struct kind_stats *l = find(s, team, kind);

	if (!l) {
		l = calloc(1, sizeof(*l));
		if (!l)
			return;
		l->at = now;
		g_hash_table_insert(s->by_kind,
				    g_strdup_printf("%s/%s", team, kind), l);
	}
	decay(l, now);
	l->cpu.bin[bin_index(peak->cpu)]++;
	l->mem.bin[bin_index(peak->mem)]++;
	l->run.bin[bin_index(run / RUN_TIME_UNIT)]++;
	l->weight++;
}

static int64_t limit_to_declared(int64_t learned, int64_t reported,
				 int64_t declared)
{
	int64_t v = learned > reported ? learned : reported;

	if (declared > 0 && v > declared * DECLARED_FACTOR_MAX)
		v = declared * DECLARED_FACTOR_MAX;
	return v;
}

struct seam_need seam_sizes_reserve(const struct seam_sizes *s,
				    const char *team, const char *kind,
				    const struct seam_need *declared,
				    const struct seam_need *reported)
{
	const struct kind_stats *l = find(s, team, kind);
	struct seam_need n = *declared;

	if (l && l->weight >= SAMPLES_MIN) {
		n.cpu = quantile(&l->cpu);
		n.mem = quantile(&l->mem);
	}
	n.cpu = limit_to_declared(n.cpu, reported->cpu, declared->cpu);
	n.mem = limit_to_declared(n.mem, reported->mem, declared->mem);
	return n;
}

seam_time seam_sizes_run_time(const struct seam_sizes *s, const char *team,
			      const char *kind)
{
	const struct kind_stats *l = find(s, team, kind);

	return l && l->weight >= SAMPLES_MIN ?
		       quantile(&l->run) * RUN_TIME_UNIT :
		       0;
}
