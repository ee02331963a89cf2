#ifndef SEAM_COUNT_H
#define SEAM_COUNT_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_count - one counter or gauge
 * @name: metric name; ends in _total for counters
 * @labels: text between the braces, or "" without labels
 * @help: one sentence
 * @value: current value; change it through seam_count_add() and _set()
 * @next: next registered counter
 *
 * Counters are static objects of the module that counts. They register on
 * first use and stay until the process ends.
 */
struct seam_count {
	const char *name;
	const char *labels;
	const char *help;
	int64_t value;
	int registered;
	struct seam_count *next;
};

#define SEAM_COUNT(var, name_, help_) \
	static struct seam_count var = {name_, "", help_, 0, 0, NULL}

/** seam_count_add() - add @n; safe from any thread */
void seam_count_add(struct seam_count *c, int64_t n);

/** seam_count_set() - set a gauge; safe from any thread */
void seam_count_set(struct seam_count *c, int64_t v);

/** seam_count_get() - read the value */
int64_t seam_count_get(struct seam_count *c);

/** seam_count_write() - write all counters in text exposition format */
void seam_count_write(FILE *f);

#ifdef __cplusplus
}
#endif
#endif
