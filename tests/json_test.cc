// JSON parsing and decoding: comments, duplicate names, positions of problems.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "base/json.h"

static std::string problems(const char *text)
{
	seam_problems p = {"f", nullptr, 0};
	json_object *o = seam_json_parse(text, &p);
	std::string all;

	for (size_t i = 0; i < p.n; i++)
		all += std::string(p.text[i]) + "\n";
	seam_problems_free(&p);
	json_object_put(o);
	return all;
}

TEST(Json, AcceptsBothCommentForms)
{
	EXPECT_EQ(problems("// a \"b\": {\n{ /* \"x\": */ \"x\": 1 }\n"), "");
}

// Guards against json-c, which silently keeps the last of several members with
// the same name.
TEST(Json, ReportsDuplicateNamesWithLine)
{
	EXPECT_EQ(problems("{ \"a\": 1,\n \"b\": { \"a\": 2 },\n \"a\": 3 }"),
		  "f: line 3: name \"a\" occurs twice\n");
	EXPECT_EQ(problems("[{\"a\":\"a\"},{\"a\":\"\\\"a\"}]"), "");
}

TEST(Json, ReportsSyntaxWithLine)
{
	EXPECT_EQ(problems("{\n\"a\": }").substr(0, 10), "f: line 2:");
	EXPECT_NE(problems("{\"a\": 1").find("unexpected end"),
		  std::string::npos);
	EXPECT_NE(problems("{} x").find("after the end"), std::string::npos);
}

struct sample {
	int64_t n;
	char name[8];
};

// Guards against reporting only the first of several problems.
TEST(Json, ReadReportsEveryProblem)
{
	static const seam_json_field f[] = {
		{"n", SEAM_JSON_INT, offsetof(sample, n), 0, 1, 5, nullptr,
		 true},
		{"name", SEAM_JSON_NAME, offsetof(sample, name), 8, 0, 0,
		 nullptr, true},
	};
	seam_problems p = {"f", nullptr, 0};
	json_object *o = seam_json_parse("{\"n\":9,\"nam\":\"x\"}", &p);
	sample s = {};

	ASSERT_NE(o, nullptr);
	EXPECT_EQ(seam_json_decode(o, f, 2, &s, "top", &p), -1);
	ASSERT_EQ(p.n, 3u);
	EXPECT_STREQ(p.text[0], "f: top.n: must be from 1 to 5");
	EXPECT_STREQ(p.text[1], "f: top.nam: unknown name");
	EXPECT_STREQ(p.text[2], "f: top: \"name\" is missing");
	json_object_put(o);
	seam_problems_free(&p);
}

// Guards against a number truncated to an integer and a string read as 0.
TEST(Json, ReadsNumbers)
{
	static const seam_json_field f[] = {
		{"x", SEAM_JSON_REAL, 0, 0, 0, 4, nullptr, true},
	};
	seam_problems p = {"f", nullptr, 0};
	json_object *good = seam_json_parse("{\"x\":0.25}", &p);
	json_object *bad = seam_json_parse("{\"x\":\"0.25\"}", &p);
	json_object *far = seam_json_parse("{\"x\":4.5}", &p);
	double x = 0;

	EXPECT_EQ(seam_json_decode(good, f, 1, &x, "", &p), 0);
	EXPECT_EQ(x, 0.25);
	EXPECT_EQ(seam_json_decode(bad, f, 1, &x, "", &p), -1);
	EXPECT_EQ(seam_json_decode(far, f, 1, &x, "", &p), -1);
	ASSERT_EQ(p.n, 2u);
	EXPECT_STREQ(p.text[0], "f: x: must be a number");
	EXPECT_STREQ(p.text[1], "f: x: must be from 0 to 4");
	json_object_put(good);
	json_object_put(bad);
	json_object_put(far);
	seam_problems_free(&p);
}

// Guards against a read past the end: json-c counts the terminating NUL if it
// ends the document. The address sanitizer detects it in a buffer of exact
// size.
TEST(Json, EndsAtTheNul)
{
	for (const char *text : {"1", "12", "-0.5", "{} /", "{} /*", "{} //",
				 "{} // x", "{} /* x", "null", "tru", ""}) {
		char *exact = strdup(text);

		problems(exact);
		free(exact);
	}
	EXPECT_EQ(problems("17"), "");
}

// Guards against a message in which an array is too short or another type:
// json-c aborts if an element is requested of a value that is not an array.
TEST(Json, NonArraysAreEmptyLists)
{
	struct json_object *o = json_tokener_parse("{\"a\":[7,\"x\"],\"b\":1}");
	struct json_object *a = seam_json_member(o, "a");
	char text[2] = "";

	EXPECT_EQ(seam_json_array_length(a), 2u);
	EXPECT_EQ(seam_json_int_at(a, 0), 7);
	EXPECT_STREQ(seam_json_str_at(a, 1), "x");
	EXPECT_EQ(seam_json_int_at(a, 2), 0);
	EXPECT_STREQ(seam_json_str_at(a, 2), "");
	for (struct json_object *none :
	     {o, seam_json_member(o, "b"), seam_json_member(o, "c"),
	      (struct json_object *)nullptr}) {
		EXPECT_EQ(seam_json_array_length(none), 0u);
		EXPECT_EQ(seam_json_int_at(none, 0), 0);
		EXPECT_STREQ(seam_json_str_at(none, 0), "");
	}
	seam_json_copy_at(text, sizeof(text), a, 0);
	EXPECT_STREQ(text, "7");
	json_object_put(o);
}

// Guards against a string with U+0000 that is taken for the part in front.
TEST(Json, StringWithNulIsNotItsFirstPart)
{
	static const char *const choices[] = {"a", nullptr};
	static const seam_json_field f[] = {
		{"t", SEAM_JSON_TEXT, 0, 8, 0, 0, nullptr, false},
		{"n", SEAM_JSON_NAME, 0, 8, 0, 0, nullptr, false},
		{"c", SEAM_JSON_CHOICE, 0, 0, 0, 0, choices, false},
		{"l", SEAM_JSON_NAMES, 0, 0, 0, 0, nullptr, false},
	};
	const char *texts[] = {
		"{\"t\":\"a\\u0000b\"}",
		"{\"n\":\"a\\u0000b\"}",
		"{\"c\":\"a\\u0000b\"}",
		"{\"l\":[\"a\\u0000b\"]}",
	};

	for (const char *text : texts) {
		seam_problems p = {"f", nullptr, 0};
		json_object *o = seam_json_parse(text, &p);
		char out[16] = "";

		EXPECT_EQ(seam_json_decode(o, f, 4, out, "top", &p), -1)
			<< text;
		json_object_put(o);
		seam_problems_free(&p);
	}
	json_object *o = json_tokener_parse(texts[0]);
	json_object *list = json_tokener_parse("[\"a\\u0000b\"]");
	EXPECT_STREQ(seam_json_str(o, "t", "none"), "none");
	EXPECT_STREQ(seam_json_str_at(list, 0), "");
	json_object_put(o);
	json_object_put(list);
}
