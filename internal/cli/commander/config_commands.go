package commander

// ConfigCommands holds the operator commands; the program embeds it among its
// subcommands.
type ConfigCommands struct {
	Check   *CheckCmd   `arg:"subcommand:check" help:"check configuration files"`
	Render  *RenderCmd  `arg:"subcommand:render" help:"print the merged configuration"`
	Diff    *DiffCmd    `arg:"subcommand:diff" help:"compare the files with the configuration in force"`
	Publish *PublishCmd `arg:"subcommand:publish" help:"publish the files"`
	Offsets *OffsetsCmd `arg:"subcommand:offsets" help:"show the configuration offset at each instance"`
	Key     *KeyCmd     `arg:"subcommand:key" help:"make, grant and withdraw keys"`
	Report  *ReportCmd  `arg:"subcommand:report" help:"service levels and measures"`
}
