// Tables and handles: detection of stale handles, iteration.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "base/table.h"

// Guards against access through a handle whose slot was freed and reused.
TEST(Table, StaleHandleIsDetected)
{
	seam_table *t = seam_table_new(sizeof(int));
	seam_handle a;
	seam_handle b;

	ASSERT_NE(seam_table_add(t, &a), nullptr);
	EXPECT_TRUE(seam_table_del(t, a));
	EXPECT_EQ(seam_table_get(t, a), nullptr);
	EXPECT_FALSE(seam_table_del(t, a));
	for (int i = 0; i < 600; i++) {
		ASSERT_NE(seam_table_add(t, &b), nullptr);
		EXPECT_FALSE(seam_handle_eq(a, b));
		EXPECT_EQ(seam_table_get(t, a), nullptr);
	}
	EXPECT_EQ(seam_table_get(t, SEAM_HANDLE_NONE), nullptr);
	seam_table_free(t);
}

// Guards against lost or duplicated entries during random adds and deletes.
TEST(Table, RandomRunMatchesMap)
{
	std::mt19937 rng(7);
	std::map<uint32_t, int> expected;
	seam_table *t = seam_table_new(sizeof(int));

	for (int i = 0; i < 20000; i++) {
		if (expected.empty() || rng() % 3) {
			seam_handle h;
			int *p = (int *)seam_table_add(t, &h);

			ASSERT_NE(p, nullptr);
			*p = i;
			ASSERT_TRUE(expected.emplace(h.bits, i).second);
		} else {
			auto it = expected.begin();

			std::advance(it, rng() % expected.size() % 50);
			ASSERT_TRUE(seam_table_del(t, {it->first}));
			expected.erase(it);
		}
	}
	seam_handle h = SEAM_HANDLE_NONE;
	size_t n = 0;

	while (int *p = (int *)seam_table_next(t, &h)) {
		ASSERT_EQ(expected.at(h.bits), *p);
		n++;
	}
	EXPECT_EQ(n, expected.size());
	EXPECT_EQ(seam_table_count(t), expected.size());
	seam_table_free(t);
}
