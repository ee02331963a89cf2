#ifndef CHANGE_H
#define CHANGE_H

// Commits configuration changes to the store of a test.
#include <gtest/gtest.h>

#include <json-c/json.h>

#include <string>

#include "version/conf.h"

// @expected is the version to which the change applies; 0 is the empty version.
static inline void commit_change(seam_store *store, seam_clock *clock,
				 const std::string &text, uint64_t expected,
				 const char *who = "test")
{
	json_object *o = json_tokener_parse(text.c_str());
	seam_conf_change ch = {o, who, who, expected};
	seam_err e = SEAM_ERR_INIT;
	seam_conf *c = seam_conf_commit(store, clock, &ch,
					seam_now(clock) + 5 * SEAM_SEC, &e);

	ASSERT_NE(c, nullptr) << e.text;
	seam_conf_unref(c);
	json_object_put(o);
}

// Commits a change to the newest version.
static inline void commit_next(seam_store *store, seam_clock *clock,
			       const std::string &text)
{
	seam_err e = SEAM_ERR_INIT;
	uint64_t head = 0;

	if (seam_conf_head_version(store, &head, seam_now(clock) + SEAM_SEC,
				   &e))
		head = 0;
	commit_change(store, clock, text, head);
}

#endif
