package org.sardineshunt.kit;

/** Version of all programs. */
public final class Version {
    /** The version that {@code --version} prints. */
    public static final String TEXT = "0.1.0";

    private Version() {}
}
