package org.sardineshunt.kit;

/** Exit codes of all programs. */
public enum ExitCode {
    OK(0),
    /** The program ran, but what it was asked for failed or was refused. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The settings are wrong. */
    SETTINGS(3),
    /** A remote process could not be reached. */
    UNREACHABLE(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the number that the process exits with. */
    public int code() {
        return code;
    }
}
