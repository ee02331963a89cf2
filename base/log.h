#ifndef SEAM_LOG_H
#define SEAM_LOG_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * seam_log() - write one short sentence to the structured log
 * @level: SEAM_DEBUG, SEAM_INFO, SEAM_WARN or SEAM_ERROR
 * @part: fixed prefix of the part, e.g. "pool"
 * @fmt: printf format without a newline
 */
enum seam_level { SEAM_DEBUG, SEAM_INFO, SEAM_WARN, SEAM_ERROR };
void seam_log(enum seam_level level, const char *part, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** seam_log_level() - drop messages below @level; the default is SEAM_INFO */
void seam_log_level(enum seam_level level);

/**
 * seam_log_lines() - write the log as lines of NAME=VALUE to standard output
 * @per_second: lines a second; those beyond are dropped and counted
 *
 * A line never waits: when the reader of standard output stands still, lines
 * are dropped. Each second with dropped lines is told in one line.
 */
void seam_log_lines(int per_second);

/**
 * SEAM_INVARIANT() - check a promise inside the program
 * @cond: must hold
 *
 * A violation is logged with its state and counted. Builds with
 * SEAM_INVARIANT_ABORT (tests, randomised runs) stop the process.
 */
#define SEAM_INVARIANT(cond, part, ...)                                        \
	do {                                                                   \
		if (!(cond))                                                   \
			seam_invariant_failed(__FILE__, __LINE__, #cond, part, \
					      __VA_ARGS__);                    \
	} while (0)

void seam_invariant_failed(const char *file, int line, const char *cond,
			   const char *part, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/** seam_invariant_count() - violations since the start of the process */
long seam_invariant_count(void);

/**
 * seam_invariant_abort() - choose whether a violation stops the process
 *
 * The default is the build's. Tests that show that an invariant can fire turn
 * it off for that time.
 */
void seam_invariant_abort(bool on);

#ifdef __cplusplus
}
#endif
#endif
