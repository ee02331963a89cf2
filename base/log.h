#ifndef SEAM_LOG_H
#define SEAM_LOG_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * seam_log() - write a message to the structured log
 * @level: SEAM_DEBUG, SEAM_INFO, SEAM_WARN or SEAM_ERROR
 * @part: component that writes the message, e.g. "pool"
 * @fmt: printf format of one short sentence without a newline
 */
enum seam_level { SEAM_DEBUG, SEAM_INFO, SEAM_WARN, SEAM_ERROR };
void seam_log(enum seam_level level, const char *part, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** seam_log_set_level() - set the minimum level; the default is SEAM_INFO */
void seam_log_set_level(enum seam_level level);

/**
 * seam_log_to_stdout() - write the log as NAME=VALUE lines to standard output
 * @per_second: lines per second; further ones are dropped and counted
 *
 * Lines of the node's own state (parts node, config, store, owner, waits,
 * dispatch, vms and upkeep) have a limit of 200 a second of their own, and so
 * have those of orders for VMs (part orders). Logging never blocks: if the
 * reader of standard output does not read, lines are dropped. A later second
 * starts with a line that gives their number by event.
 */
void seam_log_to_stdout(int per_second);

/**
 * SEAM_INVARIANT() - check an internal invariant
 * @cond: condition that must hold
 *
 * A violation is logged with the message and counted. In builds with
 * SEAM_INVARIANT_ABORT (tests, randomised runs) it aborts the process.
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

/** seam_invariant_count() - number of violations since the process started */
long seam_invariant_count(void);

/**
 * seam_invariant_set_abort() - set whether a violation aborts the process
 *
 * SEAM_INVARIANT_ABORT sets the default. Tests that provoke a violation turn
 * it off while they do.
 */
void seam_invariant_set_abort(bool on);

#ifdef __cplusplus
}
#endif
#endif
