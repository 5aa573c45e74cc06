/*
 * The head of the one-file binary: unpacks the program behind it into a memory file
 * system and replaces its own process image with it.
 *
 * PyInstaller's and Nuitka's own one-file modes keep a parent process that starts a
 * child; here there is one process from start to end. Layout of the file: this
 * program, then records (mode u32, path length u32, size u64, path, content), then the
 * trailer (offset of the first record u64, build id 16 hex digits, "BORAGEGW").
 * All numbers are little-endian; `packaging/build.py` writes the records.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC "BORAGEGW"
#define BUFFER (1 << 20)

struct trailer {
    uint64_t offset;
    char build[16];
    char magic[8];
};

static void fail(const char *what)
{
    fprintf(stderr, "boragegw: cannot unpack: %s: %s\n", what, strerror(errno));
    exit(70);
}

static void make_parents(char *path)
{
    for (char *p = path + 1; *p; p++) {
        if (*p != '/')
            continue;
        *p = 0;
        if (mkdir(path, 0700) && errno != EEXIST)
            fail(path);
        *p = '/';
    }
}

static void unpack_one(FILE *self, const char *root)
{
    uint32_t mode, length;
    uint64_t size;
    static char buffer[BUFFER];
    char name[PATH_MAX], path[2 * PATH_MAX];

    if (fread(&mode, 4, 1, self) != 1 || fread(&length, 4, 1, self) != 1 ||
        fread(&size, 8, 1, self) != 1 || length >= sizeof name ||
        fread(name, 1, length, self) != length)
        fail("record");
    name[length] = 0;
    snprintf(path, sizeof path, "%s/%s", root, name);
    make_parents(path);
    int out = open(path, O_WRONLY | O_CREAT | O_TRUNC, mode);
    if (out < 0)
        fail(path);
    while (size > 0) {
        size_t part = size < BUFFER ? size : BUFFER;
        if (fread(buffer, 1, part, self) != part)
            fail("content");
        if (write(out, buffer, part) != (ssize_t)part)
            fail(path);
        size -= part;
    }
    close(out);
}

int main(int argc, char **argv)
{
    struct trailer trailer;
    char root[PATH_MAX], partial[PATH_MAX + 32], program[PATH_MAX + 32];
    const char *base = getenv("BORAGEGW_UNPACK");
    FILE *self = fopen("/proc/self/exe", "rb");

    (void)argc;
    if (!self || fseek(self, -(long)sizeof trailer, SEEK_END))
        fail("own file");
    long end = ftell(self);
    if (fread(&trailer, sizeof trailer, 1, self) != 1 ||
        memcmp(trailer.magic, MAGIC, sizeof trailer.magic))
        fail("no program behind the launcher");
    snprintf(root, sizeof root, "%s/boragegw-%u-%.16s", base ? base : "/tmp",
             (unsigned)getuid(), trailer.build);
    snprintf(program, sizeof program, "%s/boragegw", root);
    if (access(program, X_OK)) {
        snprintf(partial, sizeof partial, "%s.%d", root, (int)getpid());
        fseek(self, (long)trailer.offset, SEEK_SET);
        while (ftell(self) < end)
            unpack_one(self, partial);
        /* Another start may have been quicker; its copy is the same. */
        if (rename(partial, root) && access(program, X_OK))
            fail(root);
    }
    fclose(self);
    execv(program, argv);
    fail(program);
}
