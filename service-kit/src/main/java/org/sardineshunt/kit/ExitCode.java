package org.sardineshunt.kit;

/** Exit codes of all programs. */
public enum ExitCode {
    OK(0),
    /** The requested action failed or was refused. */
    FAILED(1),
    /** The command line is malformed. */
    USAGE(2),
    /** The settings are missing or malformed. */
    SETTINGS(3),
    /** A remote process could not be reached. */
    UNREACHABLE(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return code;
    }
}
